"""A back end restarts under the Id that it had. The time of day of its machine was ahead when its
first life began, and is right again when the second one begins. The second life's notice that it
drains is acknowledged, but nobody acts on it."""
import asyncio, os, sys, time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "lib"))
import fleet as stand_ins
from fleet import *

JUMP_MS = 2400       # clock_step of the site: x = 2400.0
DRAIN_S = 3.0        # Bounds.Drain
stand_ins.BOUNDS.update({"Grace": "10s", "RetryBudgetExtra": 630, "ColdSlack": 10})


class RestartingBackend(Backend):
    """A back end that tells when it was born, by the time of day of its machine."""

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.ahead_ms = 0
        self.born = None

    async def start(self):
        self.born = int(time.time() * 1000) + self.ahead_ms
        self.sequence = 0
        self.record.write("back end %s starts; its clock is %d ms ahead; born %d" % (self.id, self.ahead_ms, self.born))
        await super().start()

    def heartbeat(self):
        return {**super().heartbeat(), "born": self.born}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    writers = None

    async def crash(self):
        """Ends without a word: all connections break."""
        await self.end()
        for writer in list(self.writers):
            writer.transport.abort()
        self.tasks = []
        self.record.write("back end %s crashes" % self.id)


async def case(record, fleets):
    fleet = Fleet(record)
    fleets.append(fleet)
    fleet.start_all()
    operator = Operator(record, fleet)
    await asyncio.sleep(1)
    services = [service("s1", cold_start="0s")]
    await operator.order("/config/patch", patch([route("r1", "/a/", "s1")], services, LIMITS))
    one = RestartingBackend(record, fleet, "i-one", "s1", "in-kempton", 101)
    two = RestartingBackend(record, fleet, "i-two", "s1", "in-sandton", 102)
    one.writers, two.writers = set(), set()
    await two.start()
    await until("the entry daemon is ready", lambda: is_ready(fleet, "e1"))
    client = Client(record, fleet, "/a/x")
    sending = asyncio.create_task(client.run())
    await asyncio.sleep(2)

    if TROUBLE:
        one.ahead_ms = JUMP_MS
    await one.start()
    await asyncio.sleep(0.9)
    await one.crash()
    await asyncio.sleep(0.5)
    one.ahead_ms = 0
    await one.start()
    second_life = record.now()
    await asyncio.sleep(8)
    served = sum(1 for run in one.runs if run[0] > second_life)
    record.write("the second life has run %d requests" % served)
    if not served:
        raise CannotRun("the second life got no request")

    # It leaves: it says draining, and serves on.
    one.state = "draining"
    taken_by = None
    while taken_by is None:
        body = one.heartbeat()
        record.write("back end i-one sends heartbeat %s" % json.dumps(body))
        taken_by = await one.say(body)
    acknowledged = record.now()
    record.write("%s acknowledges that i-one drains" % taken_by)
    await asyncio.sleep(DRAIN_S + 5)
    client.running = False
    await sending
    late = [run for run in one.runs if run[0] > acknowledged + DRAIN_S]
    for when, request in late[:20]:
        record.write("request %s arrives %.3f s after the acknowledgement" % (request, when - acknowledged))
    record.write("arrivals later than Drain after the acknowledgement: %d" % len(late))
    for backend in (one, two):
        await backend.end()
    return "DRAIN: %d requests reached a draining back end too late" % len(late) if late else None


main(HERE, case)
