"""During a rolling restart, a request is accepted on a kept connection and broken off before the grace period ends."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f  # noqa: E402

CONNECTIONS = 24  # kept by the clients of each stopped machine
INTERVAL_S = 0.2  # between two requests of a machine's clients
WORK_S = 0.46
# One request in four takes five times the mean of its class, as the tail of the site file.
LONG_WORK_S = {"/history/long": 2.3, "/seal/long": 1.75}
LATE_S = 3.0  # requests sent later than this after the SIGTERM are not excused
ROUTE_TIMEOUT_S = 4.0


class KeptConnection:
    """A client's connection, which is used for one request after the other."""

    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host
        self._reader = None
        self._writer = None

    async def open(self):
        self._reader, self._writer = await asyncio.open_connection(*f.splitAddress(self._host.outbound))

    async def request(self, method, path):
        """Returns the request's id, when it was sent, when it ended, and the answer's status, or None without one."""
        requestId = self._fleet.nextRequestId()
        sentAt = self._fleet.record.now()
        status = None
        try:
            self._writer.write(f.pack("%s %s HTTP/1.1" % (method, path),
                                      {"Host": "a.example", "Mustardpond-Request-Id": requestId,
                                       "Mustardpond-Timeout-Ms": "8000"},
                                      b"order" if method == "POST" else b""))
            self._fleet.record.write("client sends %s %s %s on a kept connection at %s"
                                     % (requestId, method, path, self._host.name))
            head = await f.readHead(self._reader)
            if head:
                await f.readBody(self._reader, head[1])
                status = int(head[0].split(" ")[1])
        except (OSError, asyncio.IncompleteReadError):
            pass
        self._fleet.record.write("client gets %s for %s" % (status or "a closed connection", requestId))
        return requestId, sentAt, self._fleet.record.now(), status


class Worker(f.Upstream):
    """An upstream whose work depends on the path; it records when it works on which request."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.working = {}  # request id -> (start, end or None)

    async def work(self, requestId, first):
        startedAt = self.record.now()
        self.working[requestId] = (startedAt, None)
        await asyncio.sleep(LONG_WORK_S.get(first.split(" ")[1], WORK_S))
        self.working[requestId] = (startedAt, self.record.now())


async def pollReady(fleet, zone, state):
    """Asks each machine of a zone once a second, as the platform does, and keeps which of them are in."""
    misses = {host: 0 for host in zone}
    while True:
        for host in zone:
            misses[host] = 0 if await host.isReady() else misses[host] + 1
        state["in"] = [host for host in zone if misses[host] < 2]
        fleet.record.write("in: " + ", ".join(host.name for host in state["in"]))
        await asyncio.sleep(1)


async def case(fleet):
    record = fleet.record
    for number, zone, region, service in ((1, "a", "north", "muhur"), (2, "a", "north", "kanit"),
                                          (3, "a", "north", "sicil"), (4, "b", "south", "sicil"),
                                          (5, "b", "south", "sicil"), (6, "b", "south", "sicil")):
        host = fleet.addHost(number, zone, region, service)
        host.upstream = fleet.upstreams[-1] = Worker(record, "i-%d" % number, service, host.app, host.control)
    await fleet.start(f.configuration(7, [f.route("history", "/history/", "safe", "sicil"),
                                          f.route("seal", "/seal/", "unsafe", "sicil")],
                                      ["muhur", "sicil", "kanit"]))
    zone = fleet.hosts[:3]
    stopped = fleet.hosts[:2]  # two at a time
    state = {"in": zone}
    poll = asyncio.ensure_future(pollReady(fleet, zone, state))
    kept = {host: [KeptConnection(fleet, host) for _ in range(CONNECTIONS)] for host in stopped}
    for host in stopped:
        for connection in kept[host]:
            await connection.open()
            await connection.request("GET", "/history/x")
    await asyncio.sleep(1)
    stoppedAt = record.now()
    if f.TROUBLE:
        for host in stopped:
            host.signal(signal.SIGTERM)
    requests = []
    for number in range(CONNECTIONS):
        for host in stopped:
            # New work comes only while the machine is in, or while fewer than half of the zone's machines are.
            if host in state["in"] or 2 * len(state["in"]) < len(zone):
                method, path = {3: ("GET", "/history/long"), 7: ("POST", "/seal/long")}.get(
                    number % 8, ("GET", "/history/x"))
                requests.append(asyncio.ensure_future(kept[host][number].request(method, path)))
        await asyncio.sleep(INTERVAL_S)
    results = await asyncio.gather(*requests)
    poll.cancel()
    runs = {requestId: run for upstream in fleet.upstreams for requestId, run in upstream.working.items()}
    lost = []
    for requestId, sentAt, endedAt, status in results:
        answered = status is not None and status not in (502, 504)
        inTime = endedAt - sentAt < ROUTE_TIMEOUT_S - 0.1
        if answered or not inTime or requestId not in runs or sentAt - stoppedAt <= LATE_S:
            continue
        startedAt, doneAt = runs[requestId]
        if doneAt is None or doneAt > endedAt:
            lost.append(requestId)
            record.say("%s: sent %.2f s after the SIGTERM, at work since %.2f s, broken off at %.2f s with %s"
                       % (requestId, sentAt - stoppedAt, startedAt - stoppedAt, endedAt - stoppedAt,
                          status or "a closed connection"))
    record.say("requests: %d; broken off while their upstream was at work, none of them excused: %d"
               % (len(results), len(lost)))
    return not lost


f.runCase(__file__, case, "127.83.3")
