"""Stand-ins and process control for the scripts under review/.

Starts the project's own processes with the command of deploy/system.toml, with settings filled
into its own templates. Clients, back ends and the operator are small asyncio programs that do
what the users' pages tell. Every address is a loopback address. Only processes that this module
started are signalled, by their ids.
"""
import asyncio, json, os, random, re, shutil, signal, socket, subprocess, sys, tempfile, time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/release/coursestandd")
ZONES = {"in-kempton": "inland", "in-sandton": "inland", "ec-ballito": "eastcoast",
         "ec-hillcrest": "eastcoast", "cs-paarl": "capesouth", "cs-somerset": "capesouth"}
BOUNDS = {"Grace": "6s", "ttl_max": "5s", "RetryBudgetRatio": 0.2, "RetryBudgetExtra": 64,
          "BudgetWindow": "10s", "ColdOverage": 1.5, "ColdSlack": 5}
HEARTBEAT = 1.5
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def free_prefix():
    """Returns a part of the loopback network of which the addresses needed here are unused."""
    for _ in range(50):
        prefix = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        try:
            for host, port in ((1, 8544), (11, 8548), (101, 8100)):
                probe = socket.socket()
                probe.bind(("%s.%d" % (prefix, host), port))
                probe.close()
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Record:
    """Writes record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.write("began at %s, TROUBLE=%d" % (time.strftime("%Y-%m-%d %H:%M:%S"), TROUBLE))

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        line = "%8.3f  %s" % (self.now(), text)
        self.file.write(line + "\n")
        self.file.flush()


class Fleet:
    """Control processes and entry daemons as separate processes."""

    def __init__(self, record, controls=3, edges=1, edge_zones=("in-kempton",), control_zones=None,
                 lost_disks=1):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/release/coursestandd is missing")
        self.record = record
        self.prefix = free_prefix()
        self.folder = tempfile.mkdtemp(prefix="coursestand-review-")
        self.children = {}
        self.starts = {}
        self.disks = {}
        zones = control_zones or ("in-kempton", "ec-ballito", "cs-paarl", "in-sandton", "ec-hillcrest")
        self.controls = {"c%d" % (i + 1): (self.ip(i + 1), zones[i % len(zones)]) for i in range(controls)}
        self.edges = {"e%d" % (i + 1): (self.ip(11 + i), edge_zones[i % len(edge_zones)]) for i in range(edges)}
        self.seeds = ["%s:8544" % ip for ip, _ in list(self.controls.values())[:3]]
        self.lost_disks = lost_disks
        self.bootstrap = True

    def ip(self, host):
        return "%s.%d" % (self.prefix, host)

    def control_address(self, name):
        return self.controls[name][0], 8544

    def directory_address(self, name):
        return self.controls[name][0], 8546

    def front_address(self, name):
        return self.edges[name][0], 8548

    def data_folder(self, name):
        return os.path.join(self.folder, "%s-disk-%d" % (name, self.disks.get(name, 1)))

    def lose_disk(self, name):
        """From its next start on, the process has an empty disk."""
        self.disks[name] = self.disks.get(name, 1) + 1
        self.record.write("the disk of %s is lost" % name)

    def settings(self, name):
        """Fills the project's template as the platform does."""
        is_control = name in self.controls
        ip, zone = (self.controls if is_control else self.edges)[name]
        fields = {
            "NodeName": name, "Zone": zone, "Region": ZONES[zone], "Zones|json": json.dumps(ZONES),
            "Ip": ip, "InternalPortRange": "7540,7555", "Seeds|json": json.dumps(self.seeds),
            "Bootstrap": "true" if self.bootstrap else "false",
            "Listen.Control": "%s:8544" % ip, "Listen.Directory": "%s:8546" % ip,
            "Listen.Front": "%s:8548" % ip, "Listen.Ready": "%s:8542" % ip,
            "DataDir": self.data_folder(name), "Limits.LinkMbps": "1000.0",
            "FaultTolerance.Machines": str(self.lost_disks), "Heartbeat": "1500ms",
        }
        fields.update({"Bounds." + key: str(value) for key, value in BOUNDS.items()})
        template = open(os.path.join(ROOT, "deploy", "control.json" if is_control else "edge.json")).read()
        template = re.sub(r"\{\{\^[\w.]+\}\}.*?\{\{/[\w.]+\}\}", "", template)
        text = re.sub(r"\{\{([\w.|]+)\}\}", lambda gap: fields[gap.group(1)], template)
        json.loads(text)
        return text

    def start(self, name):
        if name in self.controls:
            os.makedirs(self.data_folder(name), exist_ok=True)
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            file.write(self.settings(name))
        number = self.starts[name] = self.starts.get(name, 0) + 1
        log = open(os.path.join(self.folder, "%s-%d.log" % (name, number)), "w")
        self.children[name] = subprocess.Popen(
            [PROGRAM, "--fleet", path, "--dialect", "platform"], cwd=ROOT, stdout=log,
            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        self.record.write("process %s is started (%d. time)" % (name, number))

    def start_all(self):
        for name in list(self.controls) + list(self.edges):
            self.start(name)

    def signal(self, name, number):
        child = self.children[name]
        if child.poll() is None:
            os.kill(child.pid, number)
            self.record.write("process %s gets %s" % (name, signal.Signals(number).name))

    def kill(self, *names):
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            self.children[name].wait()

    def end(self):
        for child in self.children.values():
            if child.poll() is None:
                child.kill()
        for child in self.children.values():
            child.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def leader(self):
        """Returns the control process that said last that it leads, by the processes' logs."""
        found = None
        for name in self.controls:
            path = os.path.join(self.folder, "%s-%d.log" % (name, self.starts.get(name, 1)))
            for line in open(path):
                if "this replica leads in term" in line:
                    term = int(re.search(r"leads in term (\d+)", line).group(1))
                    if found is None or term > found[0]:
                        found = (term, name)
        return found and found[1]


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    length = headers.get("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    return b""


async def call(address, method, path, headers=None, body=None, limit=1.0, on_connection=None):
    """Makes one HTTP call on a new connection and closes it, also when `limit` is over."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address)
        lines = ["%s %s HTTP/1.1" % (method, path)]
        fields = {"Host": "%s:%d" % address}
        fields.update(headers or {})
        data = b""
        if body is not None:
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
            fields.setdefault("Content-Type", "application/json")
        if method == "POST":
            fields["Content-Length"] = str(len(data))
        lines += ["%s: %s" % item for item in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        status, answer_headers = await read_head(reader)
        if "content-length" in answer_headers or "transfer-encoding" in answer_headers:
            answer_body = await read_body(reader, answer_headers)
        else:
            answer_body = await reader.read()
        return Answer(int(status.split()[1]), answer_headers, answer_body)

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        return Answer(0, {}, (type(error).__name__ + " " + str(error)).encode())
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Sends orders as PROTOCOL.md tells: another daemon after a failure, a 5xx or a second."""

    def __init__(self, record, fleet):
        self.record, self.fleet = record, fleet

    async def order(self, path, body=None, first=None, names=None, patience=20.0):
        names = list(names or self.fleet.controls)
        if first:
            names.remove(first)
            names.insert(0, first)
        ends, pause, number = time.monotonic() + patience, 0.05, 0
        while time.monotonic() < ends:
            name = names[number % len(names)]
            number += 1
            address = self.fleet.control_address(name)
            self.record.write("operator sends POST %s to %s" % (path, name))
            answer = await call(address, "POST", path, body=body)
            self.record.write("operator: POST %s at %s is answered %s" % (path, name, answer.status or answer.body.decode()))
            if 200 <= answer.status < 300 or answer.status in (400, 409, 412, 413, 422):
                return answer
            await asyncio.sleep(pause)
            pause = min(pause * 2, 0.5)
        raise CannotRun("order %s was not taken" % path)


def patch(routes=(), services=(), limits=None, remove_routes=()):
    """Builds the body of a configuration call."""
    upsert = {}
    if routes:
        columns = ["Name", "Host", "PathPrefix", "Type", "Timeout", "TargetLatency", "Priority", "TrafficSplit",
                   "MaxAttempts", "SessionAffinity", "AllowedRegions", "ConfigVersion", "Service"]
        upsert["Routes"] = {"Columns": columns, "Rows": [[route.get(column) for column in columns] for route in routes]}
    if services:
        columns = ["Name", "HealthCheckPath", "MaxConnections", "Protocol", "Tls", "ColdStart", "ColdPerS", "ConfigVersion"]
        upsert["Services"] = {"Columns": columns, "Rows": [[service.get(column) for column in columns] for service in services]}
    if limits:
        upsert["Limits"] = limits
    return {"Upsert": upsert, "Remove": {"Routes": list(remove_routes)}}


def route(name, prefix, service, kind="safe", version=1, timeout="2500ms", attempts=2, regions=()):
    return {"Name": name, "Host": "review.example", "PathPrefix": prefix, "Type": kind, "Timeout": timeout,
            "TargetLatency": "400ms", "Priority": 1, "MaxAttempts": attempts, "SessionAffinity": False,
            "AllowedRegions": list(regions), "ConfigVersion": "r%d" % version, "Service": service}


def service(name, version=1, cold_start="3s", cold_per_s=9.0):
    return {"Name": name, "HealthCheckPath": "/healthz", "MaxConnections": 390, "Protocol": "h1", "Tls": False,
            "ColdStart": cold_start, "ColdPerS": cold_per_s, "ConfigVersion": "r%d" % version}


LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms",
          "IdleTimeout": "15000ms", "ConfigVersion": "r1"}


class Backend:
    """A sound back end: serves, answers health checks, sends heartbeats."""

    def __init__(self, record, fleet, identity, service, zone, host, work=0.02, capacity=6, port=8100):
        self.record, self.fleet = record, fleet
        self.id, self.service, self.zone = identity, service, zone
        self.address = (fleet.ip(host), port)
        self.work, self.capacity = work, capacity
        self.state, self.sequence, self.cold = "ready", 0, "0ms"
        self.runs = []          # (time, request id)
        self.tasks, self.server = [], None
        self.acknowledged = asyncio.Event()
        self.log_runs = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.tasks.append(asyncio.create_task(self.beat()))

    async def end(self):
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()

    def heartbeat(self):
        self.sequence += 1
        return {"Address": "%s:%d" % self.address,
                "Info": {"Service": self.service, "ConfigVersion": "v1", "Zone": self.zone, "Capacity": self.capacity},
                "Status": {"State": self.state, "Sequence": self.sequence, "ColdRemaining": self.cold}}

    async def say(self, body, path="heartbeat", names=None):
        """Sends one call to the control processes in turn, until one acknowledges it."""
        names = list(names or self.fleet.controls)
        random.shuffle(names)
        for name in names:
            answer = await call(self.fleet.control_address(name), "POST", "/instances/%s/%s" % (self.id, path), body=body)
            if 200 <= answer.status < 300:
                return name
        return None

    async def beat(self):
        await asyncio.sleep(random.uniform(0, 0.3))
        while True:
            if await self.say(self.heartbeat()):
                self.acknowledged.set()
            await asyncio.sleep(HEARTBEAT)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                await self.answer(writer, method, path, headers, body)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, method, path, headers, body):
        if path == "/healthz":
            fields = ["HTTP/1.1 200 OK" if self.state == "ready" else "HTTP/1.1 503 Service Unavailable",
                      "Coursestand-Instance-Id: " + self.id, "Content-Length: 0"]
            writer.write(("\r\n".join(fields) + "\r\n\r\n").encode())
            return
        request = headers.get("coursestand-request-id", "")
        if headers.get("coursestand-target-instance", self.id) != self.id:
            fields = ["HTTP/1.1 421 Misdirected Request", "Coursestand-Request-Id: " + request,
                      "Coursestand-Not-Executed: 1", "Content-Length: 0"]
            writer.write(("\r\n".join(fields) + "\r\n\r\n").encode())
            return
        self.runs.append((self.record.now(), request))
        if self.log_runs:
            self.record.write("back end %s runs request %s" % (self.id, request))
        await asyncio.sleep(self.work)
        body = ("%s ran %s" % (self.id, request)).encode()
        fields = ["HTTP/1.1 200 OK", "Coursestand-Request-Id: " + request,
                  "Coursestand-Response-Signature: %s.%s" % (self.id, request), "Content-Length: %d" % len(body)]
        writer.write(("\r\n".join(fields) + "\r\n\r\n").encode() + body)
        await writer.drain()


class Client:
    """Sends requests at a steady rate, each on a new connection."""

    def __init__(self, record, fleet, path, method="GET", rate=20.0, deadline_ms=2500, edges=None):
        self.record, self.fleet, self.path, self.method = record, fleet, path, method
        self.rate, self.deadline_ms = rate, deadline_ms
        self.edges = edges or list(fleet.edges)
        self.sent = {}         # request id -> (time, daemon)
        self.answers = {}      # request id -> status
        self.number, self.tasks, self.running = 0, set(), True
        self.prefix = "%08x" % random.getrandbits(32)

    async def one(self, edge):
        self.number += 1
        request = "%s%08x" % (self.prefix, self.number)
        headers = {"Host": "review.example", "Coursestand-Request-Id": request,
                   "Coursestand-Deadline-Ms": str(self.deadline_ms)}
        self.sent[request] = (self.record.now(), edge)
        answer = await call(self.fleet.front_address(edge), self.method, self.path, headers=headers,
                            body=(b"x" * 100 if self.method == "POST" else None), limit=self.deadline_ms / 1000)
        self.answers[request] = answer.status
        return request, answer

    async def run(self):
        while self.running:
            task = asyncio.create_task(self.one(random.choice(self.edges)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(random.expovariate(self.rate))
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=3)


async def until(what, check, limit=15.0):
    ends = time.monotonic() + limit
    while time.monotonic() < ends:
        result = check()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        await asyncio.sleep(0.1)
    raise CannotRun("gave up on: " + what)


async def is_ready(fleet, edge):
    answer = await call((fleet.edges[edge][0], 8542), "GET", "/readyz")
    return answer.status == 200


def main(folder, case):
    """Runs `case(record)`, which returns the text of a broken rule, or None. Ends with the exit
    code that the review asks for."""
    record = Record(folder)
    fleets = []

    async def bounded():
        return await asyncio.wait_for(case(record, fleets), 110)

    def stopped(*_):
        for fleet in fleets:
            fleet.end()
        sys.exit(2)

    signal.signal(signal.SIGTERM, stopped)
    signal.signal(signal.SIGINT, stopped)
    code, text = 2, ""
    try:
        broken = asyncio.run(bounded())
        code, text = (1, "BROKEN: " + broken) if broken else (0, "the rule held")
    except (CannotRun, asyncio.TimeoutError) as error:
        text = "could not run: %s %s" % (type(error).__name__, error)
    finally:
        for fleet in fleets:
            fleet.end()
    record.write(text)
    print(text)
    sys.exit(code)
