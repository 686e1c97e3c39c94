/// What operators see of organisations' quotas.
#pragma once

#include "quotaclient.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace mustardpond {

/// Returns the counters in the Prometheus text format; empty while no quota was used.
std::string quotaExposition(const QuotaClient &quota);

/// Returns the most used organisations with limit, use and refusals in this process; empty while no quota was used.
nlohmann::json quotaStatus(const QuotaClient &quota);

} // namespace mustardpond
