"""An order to end an evacuation waits at a frozen control process. The operator gets no answer,
orders the same elsewhere, is acknowledged, and later evacuates the zone again. Then the frozen
process wakes and carries out the old order."""
import asyncio, os, signal, sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from fleet import *

ZONE = "in-kempton"
FREEZE_S = 4.0       # node_freeze of the site: for_s = 4.0
EVACUATE_S = 5.0     # Bounds.Evacuate
CONTACT_S = 3.0      # Bounds.Contact


async def case(record, fleets):
    fleet = Fleet(record)
    fleets.append(fleet)
    fleet.start_all()
    operator = Operator(record, fleet)
    await asyncio.sleep(1)
    await operator.order("/config/patch", patch([route("r1", "/a/", "s1")], [service("s1")], LIMITS))
    one = Backend(record, fleet, "i-one", "s1", ZONE, 101)
    two = Backend(record, fleet, "i-two", "s1", "in-sandton", 102)
    for backend in (one, two):
        await backend.start()
    await until("the entry daemon is ready", lambda: is_ready(fleet, "e1"))
    client = Client(record, fleet, "/a/x")
    sending = asyncio.create_task(client.run())
    await asyncio.sleep(6)
    record.write("before the evacuation: %d runs in %s, %d elsewhere" % (len(one.runs), ZONE, len(two.runs)))
    if not one.runs or not two.runs:
        raise CannotRun("both back ends should have had requests")

    await operator.order("/evacuations/%s/start" % ZONE)
    await asyncio.sleep(6)

    # The operator ends the evacuation. The control process that it asks first is frozen.
    leader = fleet.leader()
    frozen = next(name for name in fleet.controls if name != leader)
    others = [name for name in fleet.controls if name != frozen]
    record.write("%s leads, %s is the one that freezes" % (leader, frozen))
    began = record.now()
    if TROUBLE:
        fleet.signal(frozen, signal.SIGSTOP)
    await operator.order("/evacuations/%s/finish" % ZONE, first=frozen)
    await asyncio.sleep(1)
    # The zone is emptied again; the operator's list names the others first by now.
    await operator.order("/evacuations/%s/start" % ZONE, names=others)
    acknowledged = record.now()
    await asyncio.sleep(max(0, began + FREEZE_S - record.now()))
    if TROUBLE:
        fleet.signal(frozen, signal.SIGCONT)
    counted_from = max(acknowledged + EVACUATE_S, began + FREEZE_S + CONTACT_S)
    await asyncio.sleep(counted_from + 8 - record.now())
    client.running = False
    await sending
    late = [run for run in one.runs if run[0] > counted_from]
    record.write("the second evacuation was acknowledged at %.3f s; it is not taken back" % acknowledged)
    for when, request in late[:20]:
        record.write("request %s arrives in the evacuated zone at %.3f s" % (request, when))
    record.write("arrivals in the evacuated zone after %.3f s: %d; in the other zone in all: %d"
                 % (counted_from, len(late), len(two.runs)))
    return "EVAC: %d requests arrived in the evacuated zone" % len(late) if late else None


main(HERE, case)
