/// What all requests at one gate share.
#pragma once

#include "decision/ledger.h"
#include "decision/quarantine.h"
#include "decision/retrybudget.h"
#include "decision/upstreamjudge.h"
#include "operationwaits.h"
#include "slotturns.h"
#include "upstreamclient.h"
#include "upstreamregistry.h"

#include <functional>
#include <map>
#include <string>

namespace mustardpond {

struct GateContext {
    GateContext(asio::io_context &io, const Clock &time, Incarnation incarnation, const DaemonSettings &settings)
        : context(io)
        , clock(time)
        , limits(settings.limits)
        , registry(settings.limits.waitingPerSlot)
        , client(io)
        , ledger(incarnation, {settings.limits.operations, settings.limits.operationLifetime})
        , turns(io)
        , waits(io)
        , profile(profileForCost(settings.lateDetectionCost))
    {
    }

    UpstreamJudge &judgeOf(const std::string &upstream)
    {
        return judges.try_emplace(upstream, profile).first->second;
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
    DetectionProfile profile;
    std::map<std::string, UpstreamJudge> judges; ///< by upstream
    RetryBudget resends; ///< of requests whose connection to an upstream went silent
    std::uint64_t nextRun = 0;
    std::function<void(std::uint64_t)> reportCrash; ///< tells the other daemons
    bool leaving = false;
    std::size_t running = 0; ///< requests that the gate has accepted and not answered
};

} // namespace mustardpond
