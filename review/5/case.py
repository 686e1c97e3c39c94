"""After a jump of the time of day, the daemon acknowledges that an upstream drains and goes on sending it requests."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f  # noqa: E402

STEP_S = 2.0  # by which the time of day of X's machine is ahead, until it jumps back
SERVES_ON_S = 8.0  # how long X goes on serving after the acknowledgement


async def sendTraffic(fleet, lost):
    """Sends seal-issue requests at all hosts in turn, 30 a second."""
    async def one(host):
        requestId, answer = await fleet.request(host, "POST", "/seal/x", b"order")
        if answer is None or answer.status() in (502, 504):
            lost.append(requestId)

    number = 0
    while True:
        asyncio.ensure_future(one(fleet.hosts[number % len(fleet.hosts)]))
        number += 1
        await asyncio.sleep(1 / 30)


def startAgain(fleet, host, timeOfDay):
    """Returns the upstream's next start, under the id that it had; its sequence starts anew."""
    upstream = f.Upstream(fleet.record, host.upstream.name, host.service, host.app, host.control)
    upstream.born = int(timeOfDay * 1000)
    host.upstream = upstream
    fleet.upstreams.append(upstream)
    return upstream


async def case(fleet):
    record = fleet.record
    for number, zone, region, service in ((1, "a", "north", "muhur"), (2, "a", "north", "muhur"),
                                          (3, "a", "north", "sicil"), (4, "b", "south", "muhur"),
                                          (5, "b", "south", "muhur"), (6, "b", "south", "sicil")):
        fleet.addHost(number, zone, region, service)
    await fleet.start(f.configuration(7, [f.route("seal", "/seal/", "unsafe", "muhur"),
                                          f.route("history", "/history/", "safe", "sicil")], ["muhur", "sicil"]))
    host = fleet.hosts[0]
    ahead = STEP_S if f.TROUBLE else 0
    # The upstream goes down and up twice. Between the two starts, the time of day of its machine jumps back.
    host.upstream.stop()
    await asyncio.sleep(0.7)
    upstream = startAgain(fleet, host, time.time() + ahead)
    await upstream.start()
    record.say("%s starts; the time of day is %.1f s ahead; born %d" % (upstream.name, ahead, upstream.born))
    await asyncio.sleep(0.7)
    record.write("the time of day of %s's machine jumps back to the true time" % upstream.name)
    upstream.stop()
    await asyncio.sleep(0.5)
    upstream = startAgain(fleet, host, time.time())
    await upstream.start()
    record.say("%s starts again; born %d" % (upstream.name, upstream.born))
    await asyncio.sleep(5)
    lost = []
    traffic = asyncio.ensure_future(sendTraffic(fleet, lost))
    await asyncio.sleep(3)
    upstream.isAnnouncing = False
    upstream.state = "draining"
    if not await upstream.sendBeat(upstream.beat()):
        raise f.CannotRun("the heartbeat was not acknowledged")
    ackedAt = record.now()
    record.say("heartbeat %d (draining) of %s is acknowledged at %.3f" % (upstream.sequence, upstream.name, ackedAt))
    for _ in range(int(SERVES_ON_S / f.HEARTBEAT_S)):
        await asyncio.sleep(f.HEARTBEAT_S)
        await upstream.sendBeat(upstream.beat())
    cut = upstream.running
    upstream.stop()
    record.write("upstream %s exits and cuts off %d running requests" % (upstream.name, cut))
    await asyncio.sleep(2)
    traffic.cancel()
    forbidden = [arrival for arrival in upstream.arrivals if arrival[0] > ackedAt + f.DRAIN_S]
    record.say("requests that reached %s later than drain_s after the acknowledgement: %d"
               % (upstream.name, len(forbidden)))
    record.say("requests cut off when %s exited: %d; answered 502 or 504, or not at all: %d"
               % (upstream.name, cut, len(lost)))
    return not forbidden


f.runCase(__file__, case, "127.83.5")
