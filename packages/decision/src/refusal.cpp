#include "decision/refusal.h"

namespace mustardpond {

namespace {

bool matches(const ApprovedRefusal &refusal, const RefusalQuery &query)
{
    const bool sameWork = refusal.service == query.service && refusal.workClass == query.workClass;
    return sameWork && (refusal.region.empty() || refusal.region == query.region);
}

} // namespace

const ApprovedRefusal *findRefusal(const std::vector<ApprovedRefusal> &refusals, const RefusalQuery &query,
                                   Millis wallClock)
{
    for (const ApprovedRefusal &refusal : refusals) {
        if (wallClock < refusal.expires && matches(refusal, query) && query.draw < refusal.share) {
            return &refusal;
        }
    }
    return nullptr;
}

} // namespace mustardpond
