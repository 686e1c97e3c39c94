/// What all requests at one gate share.
#pragma once

#include "decision/ledger.h"
#include "decision/quarantine.h"
#include "decision/retrybudget.h"
#include "operationwaits.h"
#include "slotturns.h"
#include "upstreamclient.h"
#include "upstreamregistry.h"

namespace mustardpond {

struct GateContext {
    GateContext(asio::io_context &io, const Clock &time, Incarnation incarnation, const DaemonLimits &daemonLimits)
        : context(io)
        , clock(time)
        , limits(daemonLimits)
        , registry(daemonLimits.waitingPerSlot)
        , client(io)
        , ledger(incarnation, {daemonLimits.operations, daemonLimits.operationLifetime})
        , turns(io)
        , waits(io)
    {
    }

    asio::io_context &context;
    const Clock &clock;
    DaemonLimits limits;
    UpstreamRegistry registry;
    UpstreamClient client;
    Ledger ledger;
    SlotTurns turns;
    OperationWaits waits;
    Quarantine quarantine;
    RetryBudget renewals;
    bool leaving = false;
    std::size_t running = 0; ///< requests that the gate has accepted and not answered
};

} // namespace mustardpond
