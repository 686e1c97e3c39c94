/// Burn counts as daemons report them and the operator program reads them.
#pragma once

#include "decision/burn.h"

#include <nlohmann/json.hpp>

namespace mustardpond {

/// One window: its counts and burn rate. Without the upstreams that burn the budget.
nlohmann::json toJson(const BurnCounts &counts, Millis window, double successTarget);

/// Throws nlohmann::json::exception if a count is missing.
BurnCounts burnCountsFrom(const nlohmann::json &window);

} // namespace mustardpond
