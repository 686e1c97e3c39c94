/// Burn rate: how fast a class of work uses up the error budget that its success target allows.
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

/// Result of one request of a class, as its caller saw it.
struct FinishedRequest {
    std::string service;
    std::string workClass;
    std::string upstream; ///< the one that answered or failed last; empty if there was none
    bool good = false; ///< answered completely within the latency target
    bool retried = false;
    bool spilled = false; ///< served by another region
    bool held = false; ///< waited for a free slot at an upstream
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

/// Returns the rate at which the error budget is used up: 1 uses it up exactly. Returns 0 if there are no requests.
double burnRate(const BurnCounts &counts, double successTarget);

/// Number of requests that were not good, by the upstream that answered or failed last.
using FailuresByUpstream = std::map<std::string, std::uint64_t>;

/// Counts of one window.
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

/// Counts requests in time slices, which are kept for the longest window. Not thread-safe.
class BurnMeter
{
public:
    void add(const FinishedRequest &request, Millis now);
    /// Returns the counts per service and class over the windows that end now.
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
