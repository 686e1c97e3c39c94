#include "quotareport.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace mustardpond {

namespace {

constexpr std::size_t STATUS_ORGANISATIONS = 20;

std::vector<std::pair<const char *, std::uint64_t>> byResult(const QuotaCounts &counts)
{
    return {{"granted", counts.granted},
            {"over_limit", counts.overLimit},
            {"over_limit_locally", counts.overLimitLocally},
            {"unavailable", counts.unavailable},
            {"returned", counts.returned}};
}

} // namespace

std::string quotaExposition(const QuotaClient &quota)
{
    std::string text;
    bool used = false;
    for (const auto &[result, count] : byResult(quota.counts())) {
        text += fmt::format("mustardpond_quota_requests_total{{result=\"{}\"}} {}\n", result, count);
        used = used || count > 0;
    }
    return used ? "# TYPE mustardpond_quota_requests_total counter\n" + text : std::string();
}

nlohmann::json quotaStatus(const QuotaClient &quota)
{
    nlohmann::json list = nlohmann::json::array();
    for (const QuotaUse &use : quota.mostUsed(STATUS_ORGANISATIONS)) {
        nlohmann::json entry = {
            {"organisation", use.organisation}, {"ratePerS", use.ratePerSecond}, {"burst", use.burst}};
        for (const auto &[result, count] : byResult(use.counts)) {
            entry[result] = count;
        }
        list.push_back(std::move(entry));
    }
    return list;
}

} // namespace mustardpond
