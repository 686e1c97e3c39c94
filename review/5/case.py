"""Upstreams that reset long requests for some seconds get no work for a minute after that."""

import asyncio
import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f  # noqa: E402

FLOOR_SHARE = 0.7
FLOOR_S = 2.0
UPLOAD_BYTES = 4 * 1024 * 1024
PIECE_TIME_S = 0.01  # for 64 KB, on a link of some 50 Mbit/s
UPLOADS_PER_S = 14
WORK_MS = 1000
GREY = 3  # upstreams, one after the other
GREY_S = 6.0  # how long each of them resets requests
RESETS_OF_TEN = 7
SOUND_AFTER_S = 2 * f.STABLE_WINDOW_S
WATCH_S = 16.0


class LinkedUpstream(f.Upstream):
    """An upstream behind a link with small windows, which reads a body at the link's speed."""

    isGrey = False

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        listener.bind(f.splitAddress(self.address))
        self._server = await asyncio.start_server(self._serve, sock=listener, limit=65536, backlog=512)
        self._tasks.append(asyncio.ensure_future(self._announce()))

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await f.readHead(reader)
                if head is None:
                    break
                first, headers = head
                requestId = headers.get(f.REQUEST_ID, "")
                self.arrivals.append((self.record.now(), requestId, True))
                if self.isGrey and len(self.arrivals) % 10 < RESETS_OF_TEN:
                    self.record.write("upstream %s resets the connection of %s" % (self.name, requestId))
                    writer.transport.abort()  # closing a connection with unread bytes resets it
                    return
                left = int(headers.get("content-length", "0"))
                while left > 0:
                    piece = await reader.read(65536)
                    if not piece:
                        return
                    left -= len(piece)
                    await asyncio.sleep(PIECE_TIME_S)
                self.runs[requestId] = self.runs.get(requestId, 0) + 1
                self.record.write("upstream %s runs %s (%s)" % (self.name, requestId, first))
                await asyncio.sleep(self.workMs / 1000)
                writer.write(f.pack("HTTP/1.1 200 OK", {"Mustardpond-Request-Id": requestId,
                                                        "Mustardpond-Response-Seal": "seal." + self.name}, b"done"))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def turnGrey(fleet, upstream):
    """Lets the upstream reset a part of its requests for GREY_S."""
    fleet.record.say("upstream %s resets requests" % upstream.name)
    upstream.isGrey = True
    await asyncio.sleep(GREY_S)
    upstream.isGrey = False
    upstream.soundAt = fleet.record.now() + SOUND_AFTER_S
    fleet.record.say("upstream %s is well again" % upstream.name)


async def case(fleet):
    record = fleet.record
    for number in range(1, 9):
        zone, region = ("a", "north") if number <= 4 else ("b", "south")
        service = "muhur" if number == 8 else "kanit"
        host = fleet.addHost(number, zone, region, service)
        if service == "kanit":
            host.upstream = fleet.upstreams[-1] = LinkedUpstream(record, "i-%d" % number, service, host.app,
                                                                 host.control, workMs=WORK_MS)
            host.upstream.soundAt = 0
    await fleet.start(f.configuration(7, [f.route("photos", "/photos/", "upload", "kanit")], ["kanit", "muhur"]))
    kanit = [host for host in fleet.hosts if host.service == "kanit"]
    body = os.urandom(UPLOAD_BYTES)
    results = []  # (sent at, served)

    async def one(host):
        sentAt = record.now()
        _, answer = await fleet.request(host, "POST", "/photos/x", body)
        results.append((sentAt, answer is not None and answer.status() == 200))

    async def traffic():
        number = 0
        while True:
            asyncio.ensure_future(one(fleet.hosts[number % len(fleet.hosts)]))
            number += 1
            await asyncio.sleep(1 / UPLOADS_PER_S)

    sending = asyncio.ensure_future(traffic())
    await asyncio.sleep(4)
    for host in kanit[:GREY]:
        if f.TROUBLE:
            await turnGrey(fleet, host.upstream)
        else:
            await asyncio.sleep(GREY_S)
    end = record.now() + WATCH_S
    while record.now() < end:
        await asyncio.sleep(1)
    sending.cancel()
    await asyncio.sleep(5)
    broken = False
    start = 8.0
    while start + FLOOR_S < end:
        stop = start + FLOOR_S
        sound = [host.upstream for host in kanit if host.upstream.soundAt <= start]
        busy = [upstream for upstream in sound if any(start <= at < stop for at, _, _ in upstream.arrivals)]
        asked = [served for at, served in results if start <= at < stop]
        unserved = asked.count(False) / len(asked) if asked else 0
        isBroken = bool(busy) and len(busy) < FLOOR_SHARE * len(sound) and 0.1 < unserved < 0.5
        broken = broken or isBroken
        record.say("%5.1f s to %5.1f s: %d of %d sound upstreams get requests, %.2f of %d requests are not served%s"
                   % (start, stop, len(busy), len(sound), unserved, len(asked), ": broken" if isBroken else ""))
        start += FLOOR_S
    return not broken


f.runCase(__file__, case, "127.83.5")
