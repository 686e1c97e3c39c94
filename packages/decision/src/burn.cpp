#include "decision/burn.h"

#include <cmath>
#include <tuple>

namespace mustardpond {

namespace {

constexpr Millis SLICE_LENGTH{10000};

Millis sliceStart(Millis now)
{
    return SLICE_LENGTH * std::floor(now / SLICE_LENGTH);
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
    for (const auto &[upstream, failures] : part.failuresByUpstream) {
        sum.failuresByUpstream[upstream] += failures;
    }
    return sum;
}

double burnRate(const BurnCounts &counts, double successTarget)
{
    if (counts.requests == 0) {
        return 0;
    }
    const double errorRatio = 1 - static_cast<double>(counts.good) / static_cast<double>(counts.requests);
    return errorRatio / (1 - successTarget);
}

void BurnMeter::add(const FinishedRequest &request, Millis now)
{
    auto &slices = m_slices[{request.service, request.workClass}];
    const Millis start = sliceStart(now);
    if (slices.empty() || slices.back().start != start) {
        slices.push_back({start, {}});
    }
    while (now - slices.front().start > BURN_WINDOWS.back() + SLICE_LENGTH) {
        slices.pop_front();
    }
    BurnCounts single;
    single.requests = 1;
    single.good = request.good ? 1 : 0;
    single.retried = request.retried ? 1 : 0;
    single.spilled = request.spilled ? 1 : 0;
    single.held = request.held ? 1 : 0;
    single.refused = request.refused ? 1 : 0;
    BurnWindow &window = slices.back().window;
    window.counts += single;
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
