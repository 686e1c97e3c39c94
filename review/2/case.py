"""An answer whose chunk has no end makes the daemon take memory until it is killed."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f  # noqa: E402

MEMORY_MB = 260  # of a machine's process, as in the site file
RESTART_DELAY_S = 0.5
SPELLS = 3
SPELL_S = 5.0  # during which the faulty upstreams spoil answers
PAUSE_S = 4.0
SPOILS_ONE_IN = 20
FAULTY = 2  # of four upstreams
ENDS_PER_MACHINE = 3
MACHINES = 2  # "a tenth of the machines in use (two at least)"
UPLOADS_PER_S = 40
UPLOAD_BYTES = 60000
WORK_MS = 100


class SpoilingUpstream(f.Upstream):
    """Answers in chunks. While it is faulty, one answer in 20 has a chunk extension that goes on until the connection ends."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.isFaulty = False
        self.answers = 0

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await f.readHead(reader)
                if head is None:
                    break
                requestId = head[1].get(f.REQUEST_ID, "")
                await f.readBody(reader, head[1])
                self.record.write("upstream %s runs %s" % (self.name, requestId))
                await asyncio.sleep(WORK_MS / 1000)
                writer.write(("HTTP/1.1 200 OK\r\nMustardpond-Request-Id: %s\r\nMustardpond-Response-Seal: seal.%s\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n" % (requestId, self.name)).encode())
                self.answers += 1
                if self.isFaulty and self.answers % SPOILS_ONE_IN == 0:
                    self.record.write("upstream %s spoils its answer to %s" % (self.name, requestId))
                    writer.write(b"4;")
                    while True:
                        writer.write(b"x" * 65536)
                        await writer.drain()
                writer.write(b"4\r\ndone\r\n0\r\n\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def memoryOf(process):
    """Returns the resident memory in MB."""
    try:
        with open("/proc/%d/statm" % process.pid, encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    except (OSError, IndexError):
        return 0


async def keepWithinMemory(fleet, ends):
    """Kills a process that exceeds its memory and starts it again, as the platform does; counts processes that end."""
    while True:
        for host in fleet.hosts:
            used = memoryOf(host.process)
            if used > MEMORY_MB:
                fleet.record.say("daemon %s has %.0f MB and is killed" % (host.name, used))
                host.signal(signal.SIGKILL)
            if used > MEMORY_MB or host.process.poll() is not None:
                ends[host.name] = ends.get(host.name, 0) + 1
                host.process.wait()
                await asyncio.sleep(RESTART_DELAY_S)
                host.start()
        await asyncio.sleep(0.02)


async def case(fleet):
    record = fleet.record
    for number, zone, region, service in ((1, "a", "north", "kanit"), (2, "a", "north", "kanit"),
                                          (3, "a", "north", "muhur"), (4, "b", "south", "kanit"),
                                          (5, "b", "south", "kanit"), (6, "b", "south", "muhur")):
        host = fleet.addHost(number, zone, region, service)
        if service == "kanit":
            host.upstream = fleet.upstreams[-1] = SpoilingUpstream(record, "i-%d" % number, service, host.app,
                                                                   host.control)
    await fleet.start(f.configuration(7, [f.route("photos", "/photos/", "upload", "kanit")], ["kanit", "muhur"]))
    faulty = [fleet.hosts[0].upstream, fleet.hosts[3].upstream][:FAULTY]
    body = os.urandom(UPLOAD_BYTES)
    statuses = {}

    async def one(host):
        _, answer = await fleet.request(host, "POST", "/photos/x", body)
        status = answer.status() if answer else "no answer"
        statuses[status] = statuses.get(status, 0) + 1

    async def traffic():
        number = 0
        while True:
            asyncio.ensure_future(one(fleet.hosts[number % len(fleet.hosts)]))
            number += 1
            await asyncio.sleep(1 / UPLOADS_PER_S)

    ends = {}
    watch = asyncio.ensure_future(keepWithinMemory(fleet, ends))
    sending = asyncio.ensure_future(traffic())
    await asyncio.sleep(2)
    for spell in range(SPELLS):
        record.write("spell %d begins" % (spell + 1))
        for upstream in faulty:
            upstream.isFaulty = f.TROUBLE
        await asyncio.sleep(SPELL_S)
        for upstream in faulty:
            upstream.isFaulty = False
        await asyncio.sleep(PAUSE_S)
    sending.cancel()
    await asyncio.sleep(5)
    watch.cancel()
    record.say("processes that ended: %s" % (ends or "none"))
    record.say("answers: %s" % statuses)
    return sum(count >= ENDS_PER_MACHINE for count in ends.values()) < MACHINES


f.runCase(__file__, case, "127.83.2")
