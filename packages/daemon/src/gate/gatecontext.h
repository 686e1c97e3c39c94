/// State shared by all requests at one gate.
#pragma once

#include "decision/bytebudget.h"
#include "decision/ledger.h"
#include "decision/quarantine.h"
#include "decision/retrybudget.h"
#include "decision/upstreamfailuredetector.h"
#include "decision/upstreamtrust.h"
#include "dialects.h"
#include "operationwaits.h"
#include "runningrequests.h"
#include "slotscheduler.h"
#include "streamedslots.h"
#include "upstreamclient.h"
#include "upstreamregistry.h"

#include <functional>
#include <map>
#include <string>

namespace mustardpond {

struct GateContext {
    GateContext(asio::io_context &io, const Clock &time, Incarnation self, const DaemonSettings &settings,
                std::shared_ptr<const UpstreamDialect> upstreamDialect)
        : context(io)
        , clock(time)
        , incarnation(self)
        , limits(settings.limits)
        , dialect(std::move(upstreamDialect))
        , registry(settings.limits.waitingPerSlot, settings.dialect == Dialect::Own)
        , client(io)
        , ledger(self, {settings.limits.operations, settings.limits.operationLifetime})
        , slotScheduler(io)
        , streamedSlots(io)
        , operationWaits(io)
        , runningRequests(time)
        , profile(profileForCost(settings.lateDetectionCost))
        , statistical(settings.detection == Detection::Statistical)
    {
        runningRequests.setEndedCheck([this](const UpstreamStart &start) { return registry.hasEnded(start); });
    }
    GateContext(const GateContext &) = delete;
    GateContext &operator=(const GateContext &) = delete;

    UpstreamFailureDetector &detectorOf(const std::string &upstream)
    {
        return detectors.try_emplace(upstream, profile).first->second;
    }

    UpstreamTrust &trustOf(const std::string &upstream)
    {
        return trusts[upstream];
    }

    asio::io_context &context;
    const Clock &clock;
    Incarnation incarnation; ///< of this process
    DaemonLimits limits;
    std::shared_ptr<const UpstreamDialect> dialect;
    UpstreamRegistry registry;
    UpstreamClient client;
    Ledger ledger;
    SlotScheduler slotScheduler;
    StreamedSlots streamedSlots;
    ByteBudget *byteBudget = nullptr; ///< of the process; null without a router
    OperationWaits operationWaits;
    RunningRequests runningRequests;
    Quarantine quarantine;
    DetectionProfile profile;
    bool statistical; ///< whether the detectors decide which upstreams fail, instead of their trust level
    std::map<std::string, UpstreamFailureDetector> detectors; ///< by upstream
    std::map<std::string, UpstreamTrust> trusts; ///< by upstream
    RetryBudget resendBudget; ///< for requests whose connection to an upstream went silent
    std::uint64_t lastRunNumber = 0;
    std::function<void(std::uint64_t)> reportCrash; ///< reports a request's fingerprint to the other daemons
    bool leaving = false;
    std::size_t pendingRequests = 0; ///< requests that the gate has accepted and not yet answered
};

} // namespace mustardpond
