"""An acknowledged deregistration is undone by a late heartbeat after a restart of the daemons."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f  # noqa: E402

LATE_BY_S = 1.5  # the delay of the heartbeat that X sent before its deregistration
SERVES_ON_S = 9.0  # how long X goes on serving after the acknowledgement


async def sendTraffic(fleet, lost):
    """Sends seal-issue requests at all hosts in turn, 40 a second."""
    async def one(host):
        requestId, answer = await fleet.request(host, "POST", "/seal/x", b"order")
        if answer is None or answer.status() in (502, 504):
            lost.append(requestId)

    number = 0
    while True:
        asyncio.ensure_future(one(fleet.hosts[number % len(fleet.hosts)]))
        number += 1
        await asyncio.sleep(1 / 40)


async def case(fleet):
    record = fleet.record
    for number, zone, region, service in ((1, "a", "north", "muhur"), (2, "a", "north", "muhur"),
                                          (3, "a", "north", "sicil"), (4, "b", "south", "muhur"),
                                          (5, "b", "south", "muhur"), (6, "b", "south", "sicil")):
        fleet.addHost(number, zone, region, service)
    await fleet.start(f.configuration(7, [f.route("seal", "/seal/", "unsafe", "muhur"),
                                          f.route("history", "/history/", "safe", "sicil")], ["muhur", "sicil"]))
    lost = []
    traffic = asyncio.ensure_future(sendTraffic(fleet, lost))
    await asyncio.sleep(4)
    leaver = fleet.hosts[0].upstream
    if f.TROUBLE:
        # Many processes are killed at the same moment, and start again after half a second.
        for host in fleet.hosts:
            host.signal(signal.SIGKILL)
        leaver.isAnnouncing = False  # its next regular heartbeat would be due after its deregistration
        await asyncio.sleep(0.5)
        for host in fleet.hosts:
            host.start()
        for host in fleet.hosts:
            await host.waitReady()
    leaver.isAnnouncing = False
    startedAt = record.now()
    late = leaver.beat()
    record.write("upstream %s sends heartbeat %d (ready), which arrives late" % (leaver.name, late["sequence"]))
    await asyncio.sleep(0.3)
    if not await leaver.deregister():
        raise f.CannotRun("the deregistration was not acknowledged")
    ackedAt = record.now()
    record.say("the deregistration of %s is acknowledged at %.3f" % (leaver.name, ackedAt))
    await asyncio.sleep(LATE_BY_S)
    acked = await leaver.sendBeat(late)
    record.say("heartbeat %d (ready) arrives %.1f s late; acknowledged: %s" % (late["sequence"], LATE_BY_S, acked))
    await asyncio.sleep(SERVES_ON_S - LATE_BY_S)
    cut = leaver.running
    leaver.stop()
    record.write("upstream %s exits and cuts off %d running requests" % (leaver.name, cut))
    await asyncio.sleep(2)
    traffic.cancel()
    # All machines are in touch stable_window_s after their start; half a second is added for the start itself.
    boundAt = max(ackedAt + f.DRAIN_S, startedAt + f.STABLE_WINDOW_S + 0.5)
    forbidden = [arrival for arrival in leaver.arrivals if arrival[0] > boundAt]
    record.say("requests that reached %s later than drain_s after the acknowledgement, from machines in touch: %d"
               % (leaver.name, len(forbidden)))
    record.say("requests cut off when %s exited: %d; answered 502 or 504, or not at all, over the whole run: %d"
               % (leaver.name, cut, len(lost)))
    return not forbidden


f.runCase(__file__, case, "127.83.4")
