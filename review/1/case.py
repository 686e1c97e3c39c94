"""An upstream breaks off an answer without a length while a long body is still being sent; the caller gets it as whole."""

import asyncio
import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f  # noqa: E402

UPLOADS = 200
UPLOADS_PER_S = 40
UPLOAD_BYTES = 360000  # the largest of the site file
ANSWER_BYTES = 5000
FAULTY_SHARE = 0.7  # of the service's upstreams
BREAKS_OFF_ONE_IN = 20  # answers of a faulty upstream


class EarlyUpstream(f.Upstream):
    """Answers uploads before it has read them, without a length; the faulty ones end with a reset half-way."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.isFaulty = False
        self.broken = set()  # ids of requests whose answers it broke off
        self.answers = 0

    async def start(self):
        # Links have small windows, so that a peer that does not read blocks the writer.
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        listener.bind(f.splitAddress(self.address))
        self._server = await asyncio.start_server(self._serve, sock=listener, limit=4096)
        self._tasks.append(asyncio.ensure_future(self._announce()))

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            head = await f.readHead(reader)
            if head is None:
                return
            first, headers = head
            requestId = headers.get(f.REQUEST_ID, "")
            self.runs[requestId] = self.runs.get(requestId, 0) + 1
            await reader.read(4096)
            answer = wholeAnswer(requestId)
            fields = {"Mustardpond-Request-Id": requestId, "Mustardpond-Response-Seal": "seal." + self.name}
            lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % item for item in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            self.answers += 1
            if self.isFaulty and self.answers % BREAKS_OFF_ONE_IN == 0:
                self.broken.add(requestId)
                self.record.write("upstream %s runs %s and breaks off its answer" % (self.name, requestId))
                writer.write(answer[:ANSWER_BYTES // 2])
                await asyncio.sleep(0.05)
                writer.transport.abort()  # closing a connection with unread bytes resets it
                return
            self.record.write("upstream %s runs %s and answers it whole" % (self.name, requestId))
            writer.write(answer)
            length = int(headers.get("content-length", "0"))
            left = length - 4096
            while left > 0:
                piece = await reader.read(262144)
                if not piece:
                    break
                left -= len(piece)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def wholeAnswer(requestId):
    return (requestId * ANSWER_BYTES)[:ANSWER_BYTES].encode()


async def case(fleet):
    record = fleet.record
    for number, zone, region, service in ((1, "a", "north", "kanit"), (2, "a", "north", "kanit"),
                                          (3, "a", "north", "muhur"), (4, "b", "south", "kanit"),
                                          (5, "b", "south", "kanit"), (6, "b", "south", "muhur")):
        host = fleet.addHost(number, zone, region, service)
        if service == "kanit":
            host.upstream = fleet.upstreams[-1] = EarlyUpstream(record, "i-%d" % number, service, host.app,
                                                                host.control)
    await fleet.start(f.configuration(7, [f.route("photos", "/photos/", "upload", "kanit")], ["kanit", "muhur"]))
    upstreams = [upstream for upstream in fleet.upstreams if isinstance(upstream, EarlyUpstream)]
    if f.TROUBLE:
        for upstream in upstreams[:int(len(upstreams) * FAULTY_SHARE)]:
            upstream.isFaulty = True
    body = os.urandom(UPLOAD_BYTES)
    uploads = []
    for number in range(UPLOADS):
        host = fleet.hosts[number % len(fleet.hosts)]
        uploads.append(asyncio.ensure_future(fleet.request(host, "POST", "/photos/x", body)))
        await asyncio.sleep(1 / UPLOADS_PER_S)
    wrong = whole = 0
    for requestId, answer in await asyncio.gather(*uploads):
        if answer is None or not 200 <= answer.status() < 300:
            continue
        if answer.body == wholeAnswer(requestId):
            whole += 1
            continue
        wrong += 1
        record.say("%s: the client gets %d with a complete body of %d bytes; the upstream's whole body has %d"
                   % (requestId, answer.status(), len(answer.body), ANSWER_BYTES))
    broken = sum(len(upstream.broken) for upstream in upstreams)
    record.say("uploads: %d; answers broken off: %d; whole successes: %d; successes with a part of the body: %d"
               % (UPLOADS, broken, whole, wrong))
    if whole == 0:
        raise f.CannotRun("no upload was answered")
    return wrong == 0


f.runCase(__file__, case, "127.83.1")
