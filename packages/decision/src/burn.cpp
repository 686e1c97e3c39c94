#include "decision/burn.h"

#include <cmath>
#include <tuple>

namespace mustardpond {

namespace {

constexpr Millis SLICE{10000};

Millis sliceStart(Millis now)
{
    return SLICE * std::floor(now / SLICE);
}

} // namespace

bool BurnMeter::Key::operator<(const Key &other) const
{
    return std::tie(service, workClass) < std::tie(other.service, other.workClass);
}

BurnCounts &operator+=(BurnCounts &sum, const BurnCounts &part)
{
    sum.requests += part.requests;
    sum.good += part.good;
    sum.retried += part.retried;
    sum.spilled += part.spilled;
    sum.held += part.held;
    sum.refused += part.refused;
    return sum;
}

BurnWindow &operator+=(BurnWindow &sum, const BurnWindow &part)
{
    sum.counts += part.counts;
    for (const auto &[upstream, bad] : part.failuresByUpstream) {
        sum.failuresByUpstream[upstream] += bad;
    }
    return sum;
}

double burnRate(const BurnCounts &counts, double successTarget)
{
    if (counts.requests == 0) {
        return 0;
    }
    const double badShare = 1 - static_cast<double>(counts.good) / static_cast<double>(counts.requests);
    return badShare / (1 - successTarget);
}

void BurnMeter::add(const ServedRequest &request, Millis now)
{
    auto &slices = m_slices[{request.service, request.workClass}];
    const Millis start = sliceStart(now);
    if (slices.empty() || slices.back().start != start) {
        slices.push_back({start, {}});
    }
    while (now - slices.front().start > BURN_WINDOWS.back() + SLICE) {
        slices.pop_front();
    }
    BurnCounts one;
    one.requests = 1;
    one.good = request.good ? 1 : 0;
    one.retried = request.retried ? 1 : 0;
    one.spilled = request.spilled ? 1 : 0;
    one.held = request.held ? 1 : 0;
    one.refused = request.refused ? 1 : 0;
    BurnWindow &window = slices.back().window;
    window.counts += one;
    if (!request.good) {
        ++window.failuresByUpstream[request.upstream];
    }
}

std::vector<BurnReport> BurnMeter::report(Millis now) const
{
    std::vector<BurnReport> reports;
    for (const auto &[key, slices] : m_slices) {
        BurnReport report{key.service, key.workClass, {}};
        for (const Slice &slice : slices) {
            for (std::size_t index = 0; index < BURN_WINDOWS.size(); ++index) {
                if (now - slice.start < BURN_WINDOWS.at(index)) {
                    report.windows.at(index) += slice.window;
                }
            }
        }
        reports.push_back(report);
    }
    return reports;
}

} // namespace mustardpond
