#include "config/burnjson.h"

namespace mustardpond {

nlohmann::json toJson(const BurnCounts &counts, Millis window, double successTarget)
{
    return {{"windowMs", window.value},  {"requests", counts.requests},
            {"good", counts.good},       {"retried", counts.retried},
            {"spilled", counts.spilled}, {"held", counts.held},
            {"refused", counts.refused}, {"burnRate", burnRate(counts, successTarget)}};
}

BurnCounts burnCountsFrom(const nlohmann::json &window)
{
    BurnCounts counts;
    counts.requests = window.at("requests");
    counts.good = window.at("good");
    counts.retried = window.at("retried");
    counts.spilled = window.at("spilled");
    counts.held = window.at("held");
    counts.refused = window.at("refused");
    return counts;
}

} // namespace mustardpond
