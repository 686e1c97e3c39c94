"""Stand-ins for the platform's store, upstreams and clients, and functions that run a small fleet of daemons.

Everything runs on loopback addresses and the real clock. The wire format is that of PROTOCOL.md in the plain forms that
deploy/wire.toml asks for: flat settings, lists of routes and services, times in whole milliseconds.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the small deployments, in seconds.
STABLE_WINDOW_S = 3
DRAIN_S = 2
GRACE_S = 6
LOSS_SLACK_S = 0.2
HEARTBEAT_S = 1.5

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

REQUEST_ID = "mustardpond-request-id"
TIMEOUT_MS = "mustardpond-timeout-ms"
TARGET_INSTANCE = "mustardpond-target-instance"
CALLER_SERVICE = "mustardpond-caller-service"


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start, to record.txt."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._startedAt = time.monotonic()

    def now(self):
        return time.monotonic() - self._startedAt

    def write(self, text):
        self._file.write("%8.3f  %s\n" % (self.now(), text))
        self._file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


# HTTP


class Message:
    """A request or an answer."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def status(self):
        return int(self.first.split(" ")[1])


async def readHead(reader):
    """Returns the first line and the headers, or None if the connection has ended before a message."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def readBody(reader, headers, untilEnd=False):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if untilEnd else b""


def pack(first, headers, body):
    lines = [first] + ["%s: %s" % item for item in headers.items()] + ["Content-Length: %d" % len(body)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def findFreePorts(ip, count):
    """Returns the first of a range of ports that are free at an address, outside the range for outgoing connections."""
    first = 10000 + os.getpid() % 1000 * 20
    for base in range(first, first + 20000, count):
        base = 10000 + (base - 10000) % 20000
        try:
            for port in range(base, base + count):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((ip, port))
            return base
        except OSError:
            continue
    raise CannotRun("no free ports at " + ip)


def splitAddress(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


async def call(address, method, target, headers=None, body=b"", timeout=5.0):
    """Sends one request on a new connection. Returns the answer, or None if there was no complete answer in time."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*splitAddress(address))
        try:
            fields = {"Host": address, "Connection": "close"}
            fields.update(headers or {})
            writer.write(pack("%s %s HTTP/1.1" % (method, target), fields, body))
            await writer.drain()
            head = await readHead(reader)
            if head is None:
                return None
            return Message(head[0], head[1], await readBody(reader, head[1], True))
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


# The platform's store


class Store:
    """Objects by kind and name with one revision counter, conditional writes and watches."""

    def __init__(self, address):
        self.address = address
        self._revision = 100
        self._objects = {}
        self._history = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *splitAddress(self.address))

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await readHead(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                body = await readBody(reader, head[1])
                status, document = await self._answer(method, target, body)
                writer.write(pack("HTTP/1.1 %d X" % status, {"Content-Type": "application/json"},
                                  json.dumps(document).encode()))
                await writer.drain()
                if head[1].get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        parameters = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        parts = path.split("/")[2:]
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None:
            if "watch" in parameters:
                return await self._watch(kind, int(parameters["watch"]), int(parameters.get("wait_ms", "0")))
            items = [value for key, value in sorted(self._objects.items()) if key[0] == kind]
            return 200, {"items": items, "has_more": False, "current_rev": self._revision}
        if method == "GET":
            found = self._objects.get((kind, name))
            return (200, found) if found else (404, {})
        return self._write(method, kind, name, parameters, json.loads(body) if body else {})

    async def _watch(self, kind, since, waitMs):
        end = time.monotonic() + waitMs / 1000
        while True:
            events = [event for revision, of, event in self._history if revision > since and of == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _write(self, method, kind, name, parameters, body):
        isNew = method == "POST"
        name = body["metadata"]["name"] if isNew else name
        found = self._objects.get((kind, name))
        if isNew and found:
            return 409, found
        if not isNew and not found:
            return 404, {}
        expected = parameters.get("rev", body.get("metadata", {}).get("rev"))
        if found and expected is not None and int(expected) != found["metadata"]["rev"]:
            return 409, found
        return (201 if isNew else 200), self.put(kind, name, body.get("spec"), method == "DELETE")

    def put(self, kind, name, spec, removed=False):
        self._revision += 1
        found = self._objects.get((kind, name))
        created = found["metadata"]["created_rev"] if found else self._revision
        stored = {"metadata": {"name": name, "rev": self._revision, "created_rev": created, "finalizers": [],
                               "deleting": False},
                  "spec": found["spec"] if removed and found else spec, "status": None}
        if removed:
            self._objects.pop((kind, name), None)
        else:
            self._objects[(kind, name)] = stored
        self._history.append((self._revision, kind, {"removed": removed, "object": stored}))
        self._changed.set()
        self._changed = asyncio.Event()
        return stored


def route(name, prefix, kind, service, timeoutMs=4000, targetMs=1500):
    return {"name": name, "host": "a.example", "path_prefix": prefix, "kind": kind, "timeout_s": timeoutMs,
            "target_latency_s": targetMs, "priority": 1, "service": service, "max_attempts": 2}


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_connections": 330, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3000,
                       "idle_timeout_s": 15000}}


# Upstreams


class Upstream:
    """A backend server with slots, heartbeats and sealed answers, which records each run."""

    def __init__(self, record, name, service, address, control, workMs=300, slots=5):
        self.record = record
        self.name = name
        self.service = service
        self.address = address
        self.control = control
        self.workMs = workMs
        self.slots = slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.arrivals = []  # (time, request id, whether it ran)
        self.runs = {}  # request id -> number of runs
        self.running = 0
        self.isAnnouncing = True
        self._server = None
        self._writers = set()
        self._tasks = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *splitAddress(self.address), backlog=512)
        self._tasks.append(asyncio.ensure_future(self._announce()))

    def stop(self):
        """Ends the upstream as its process would: the kernel resets its connections."""
        self.isAnnouncing = False
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def beat(self):
        """Returns the next heartbeat's body."""
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": "z", "version": "v1", "slots": self.slots,
                "state": self.state, "cold_remaining_s": 0, "sequence": self.sequence, "born": self.born}

    async def sendBeat(self, body):
        """Returns whether the heartbeat was acknowledged."""
        answer = await call(self.control, "PUT", "/instances/" + self.name, {"Content-Type": "application/json"},
                            json.dumps(body).encode(), 1.0)
        return answer is not None and 200 <= answer.status() < 300

    async def deregister(self):
        """Returns whether the deregistration was acknowledged."""
        answer = await call(self.control, "DELETE", "/instances/" + self.name, {}, b"", 1.0)
        return answer is not None and 200 <= answer.status() < 300

    async def _announce(self):
        while self.isAnnouncing:
            await self.sendBeat(self.beat())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await readHead(reader)
                if head is None:
                    break
                body = await readBody(reader, head[1])
                status, headers, answer = await self.handle(head[0], head[1], body)
                writer.write(pack("HTTP/1.1 %d X" % status, headers, answer))
                await writer.drain()
                if head[1].get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def work(self, requestId, first):
        await asyncio.sleep(self.workMs / 1000)

    async def handle(self, first, headers, body):
        requestId = headers.get(REQUEST_ID, "")
        target = headers.get(TARGET_INSTANCE, "")
        if target and target != self.name:
            self.record.write("upstream %s rejects %s for %s (421)" % (self.name, requestId, target))
            return 421, {"Mustardpond-Instance-Id": self.name}, b""
        isFull = self.running >= self.slots
        self.arrivals.append((self.record.now(), requestId, not isFull))
        if isFull:
            return 503, {"Mustardpond-Not-Executed": "1", REQUEST_ID: requestId}, b""
        self.running += 1
        self.runs[requestId] = self.runs.get(requestId, 0) + 1
        self.record.write("upstream %s runs %s (%s)" % (self.name, requestId, first))
        try:
            await self.work(requestId, first)
        finally:
            self.running -= 1
        return 200, {"Mustardpond-Request-Id": requestId, "Mustardpond-Response-Seal": "seal." + self.name,
                     "Mustardpond-Server-Load": "%d,0,%d" % (self.running, self.slots)}, b"done by " + self.name.encode()


# Daemons


def renderTemplate(text, fields):
    """Fills in the placeholders of deploy/settings.json; it uses no sections."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if match.group(2) else str(found)

    return re.sub(r"\{\{([a-z_0-9.]+)(\|json)?\}\}", value, text)


class Host:
    """One machine: its addresses, its daemon and the settings file of the daemon."""

    def __init__(self, fleet, number, zone, region, service):
        self.fleet = fleet
        self.number = number
        self.zone = zone
        self.service = service
        ip = "%s.%d" % (fleet.network, number)
        ports = fleet.ports
        self.outbound = "%s:%d" % (ip, ports)
        self.inbound = "%s:%d" % (ip, ports + 1)
        self.control = "%s:%d" % (ip, ports + 2)
        self.ready = "%s:%d" % (ip, ports + 3)
        self.app = "%s:%d" % (ip, ports + 4)
        self.name = "sidecar-%s-%d" % (zone, number)
        self.process = None
        self.fields = {
            "node_name": self.name, "region": region, "zone": zone, "service": service, "app_addr": self.app, "ip": ip,
            "listen": {"outbound": self.outbound, "inbound": self.inbound, "ready": self.ready,
                       "control": self.control},
            "port_range": [ports + 5, ports + 15], "platform": {"address": fleet.store.address},
            "bounds": {"retry_budget_ratio": 0.2, "retry_budget_extra": 56, "budget_window_s": 10,
                       "grace_s": GRACE_S}}

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".json")
        with open(os.path.join(ROOT, "deploy", "settings.json"), encoding="utf-8") as template:
            text = renderTemplate(template.read(), self.fields)
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(text)
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "a", encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["MUSTARDPOND_SETTINGS"] = path
        self.process = self.fleet.startProcess([os.path.join(ROOT, "target", "mustardpond")], environment, log)
        self.fleet.record.write("daemon %s started, process %d" % (self.name, self.process.pid))

    def signal(self, number):
        self.fleet.record.write("daemon %s gets %s" % (self.name, signal.Signals(number).name))
        os.kill(self.process.pid, number)

    async def isReady(self):
        answer = await call(self.ready, "GET", "/ready", timeout=1.0)
        return answer is not None and answer.status() == 200

    async def waitReady(self, seconds=15.0):
        end = time.monotonic() + seconds
        while not await self.isReady():
            if self.process.poll() is not None or time.monotonic() > end:
                raise CannotRun("the daemon %s did not become ready" % self.name)
            await asyncio.sleep(0.02)


class Fleet:
    """A small deployment."""

    def __init__(self, folder, network):
        self.record = Record(folder)
        self.network = network
        self.ports = findFreePorts(network + ".1", 16)
        ports = self.ports
        self.folder = tempfile.mkdtemp(prefix="mustardpond-review-")
        self.store = Store("%s.250:%d" % (network, ports))
        self.hosts = []
        self.upstreams = []
        self._processes = []
        self._lastRequest = 0

    def startProcess(self, command, environment, log):
        process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self._processes.append(process)
        return process

    def addHost(self, number, zone, region, service, **upstreamOptions):
        host = Host(self, number, zone, region, service)
        host.upstream = Upstream(self.record, "i-%d" % number, service, host.app, host.control, **upstreamOptions)
        self.hosts.append(host)
        self.upstreams.append(host.upstream)
        return host

    async def start(self, config):
        if not os.access(os.path.join(ROOT, "target", "mustardpond"), os.X_OK):
            raise CannotRun("target/mustardpond is missing: run the build of the deploy file first")
        await self.store.start()
        self.store.put("config", "main", config)
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await host.upstream.start()
        for host in self.hosts:
            await host.waitReady()
        await asyncio.sleep(2 * HEARTBEAT_S)

    def nextRequestId(self):
        self._lastRequest += 1
        return "%016x" % (0x9c41d07be2a30000 + self._lastRequest)

    async def request(self, host, method, path, body=b"", timeoutMs=8000, requestId=None):
        """Sends a client's request at a host. Returns its id and the answer, None if there was none."""
        requestId = requestId or self.nextRequestId()
        self.record.write("client sends %s %s %s at %s" % (requestId, method, path, host.name))
        answer = await call(host.outbound, method, path,
                            {"Host": "a.example", "Mustardpond-Request-Id": requestId,
                             "Mustardpond-Timeout-Ms": str(timeoutMs)}, body, timeoutMs / 1000)
        self.record.write("client gets %s for %s" % (answer.status() if answer else "no answer", requestId))
        return requestId, answer

    def cleanUp(self):
        for upstream in self.upstreams:
            if upstream._server:
                upstream.stop()
        for process in self._processes:
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait()
        if os.environ.get("KEEP_LOGS") is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs are in " + self.folder)


def runCase(file, case, network):
    """Runs a case, which returns whether the rule held, and exits with the status for it."""
    fleet = Fleet(os.path.dirname(os.path.abspath(file)), network)

    def endEarly(*_):
        fleet.cleanUp()
        os._exit(EXIT_NOT_RUN)

    signal.signal(signal.SIGTERM, endEarly)
    signal.signal(signal.SIGINT, endEarly)

    async def run():
        try:
            return await asyncio.wait_for(case(fleet), 110)
        except asyncio.TimeoutError:
            raise CannotRun("the case took too long")

    status = EXIT_NOT_RUN
    try:
        held = asyncio.new_event_loop().run_until_complete(run())
        status = EXIT_HELD if held else EXIT_BROKEN
        fleet.record.say("the rule held" if held else "the rule was broken")
    except (CannotRun, OSError) as error:
        fleet.record.say("could not run: %s" % error)
    finally:
        fleet.cleanUp()
    sys.stdout.flush()
    os._exit(status)  # without the event loop's complaints about connections that are still open
