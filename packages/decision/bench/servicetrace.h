/// Simulates one service under a fault on a virtual clock: callers, routers with a detector each, and upstreams with
/// slots.
#pragma once

#include "decision/detector.h"
#include "decision/sequentialdetector.h"
#include "foundation/enumtable.h"

#include <functional>
#include <memory>
#include <optional>

namespace mustardpond::bench {

enum class FaultKind : std::uint8_t {
    Quiet,
    Bursts,
    SharedSlow,
    BrownOut,
    Slow,
    SlightlySlow,
    Errors,
    FastErrors,
    ClassErrors,
    Hang,
    Flapping,
    TwoAtOnce,
};

constexpr EnumTable<FaultKind, 12> FAULT_KIND_NAMES = {{
    {FaultKind::Quiet, "quiet"},
    {FaultKind::Bursts, "bursts"},
    {FaultKind::SharedSlow, "shared-slow"},
    {FaultKind::BrownOut, "brown-out"},
    {FaultKind::Slow, "slow"},
    {FaultKind::SlightlySlow, "slightly-slow"},
    {FaultKind::Errors, "errors"},
    {FaultKind::FastErrors, "fast-errors"},
    {FaultKind::ClassErrors, "class-errors"},
    {FaultKind::Hang, "hang"},
    {FaultKind::Flapping, "flapping"},
    {FaultKind::TwoAtOnce, "two-at-once"},
}};

struct TracePlan {
    FaultKind fault = FaultKind::Quiet;
    std::uint64_t seed = 1;
    std::size_t upstreams = 12;
    std::size_t routers = 6;
    std::size_t slots = 5;
    double requestsPerSecond = 600;
    Millis serviceTime{10};
    Millis latencyTarget{150};
    Millis deadline{3000};
    Millis faultStart{6000};
    Millis faultEnd{16000};
    Millis end{20000};
    std::optional<DetectionProfile> gateProfile; ///< of the gates' failure detectors; empty for gates without one
    /// Called with each health change of a router; may be empty.
    std::function<void(Millis at, std::size_t router, const HealthChange &change)> onChange;
};

/// Creates a router's detector. The oracle returns whether an upstream answers a probe at a given time.
using DetectorFactory =
    std::function<std::unique_ptr<Detector>(const std::function<bool(const std::string &, Millis)> &)>;

struct TraceResult {
    /// Per faulty upstream: time from the start of the fault to the last request sent to the upstream during the fault.
    std::vector<double> detectionMs;
    double falseEjections = 0; ///< of healthy upstreams, averaged over the routers
    double healthyHours = 0; ///< upstream-hours in which an ejection would have been false
    double leastCapacity = 1; ///< minimum share of upstreams that any router left in use
    std::uint64_t requests = 0;
    std::uint64_t good = 0; ///< answered without error within the target
    std::uint64_t retries = 0;
    std::uint64_t requestsInFault = 0; ///< first attempts from the start of the fault to its end
    std::uint64_t retriesInFault = 0;
};

TraceResult runTrace(const TracePlan &plan, const DetectorFactory &makeDetector);

} // namespace mustardpond::bench
