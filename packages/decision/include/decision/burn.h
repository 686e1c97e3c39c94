/// Service-level burn: how fast a class of work uses up the failures that its target allows.
#pragma once

#include "foundation/clock.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace mustardpond {

constexpr std::array<Millis, 3> BURN_WINDOWS = {Millis(60000), Millis(300000), Millis(3600000)};

/// How one request of a class ended, as its caller saw it.
struct ServedRequest {
    std::string service;
    std::string workClass;
    std::string upstream; ///< that answered or failed last; empty if none did
    bool good = false; ///< whole answer within the latency target
    bool retried = false;
    bool spilled = false; ///< served by another region
    bool held = false; ///< waited for an upstream with room
    bool refused = false;
};

struct BurnCounts {
    std::uint64_t requests = 0;
    std::uint64_t good = 0;
    std::uint64_t retried = 0;
    std::uint64_t spilled = 0;
    std::uint64_t held = 0;
    std::uint64_t refused = 0;
};

BurnCounts &operator+=(BurnCounts &sum, const BurnCounts &part);

/// Rate at which the budget is used: 1 uses it up exactly; 0 for no requests.
double burnRate(const BurnCounts &counts, double successTarget);

/// Requests that were not good, by the upstream that answered or failed last.
using FailuresByUpstream = std::map<std::string, std::uint64_t>;

/// What happened in one window.
struct BurnWindow {
    BurnCounts counts;
    FailuresByUpstream failuresByUpstream;
};

BurnWindow &operator+=(BurnWindow &sum, const BurnWindow &part);

struct BurnReport {
    std::string service;
    std::string workClass;
    std::array<BurnWindow, BURN_WINDOWS.size()> windows;
};

/// Counts requests in time slices as long as the slowest window. Not thread-safe.
class BurnMeter
{
public:
    void add(const ServedRequest &request, Millis now);
    /// Counts per service and class over the windows that end now.
    std::vector<BurnReport> report(Millis now) const;

private:
    struct Slice {
        Millis start;
        BurnWindow window;
    };
    struct Key {
        std::string service;
        std::string workClass;
        bool operator<(const Key &other) const;
    };
    std::map<Key, std::deque<Slice>> m_slices;
};

} // namespace mustardpond
