/// JSON form of burn counts, which daemons report and mustardctl reads.
#pragma once

#include "decision/burn.h"

#include <nlohmann/json.hpp>

namespace mustardpond {

/// Returns the counts and burn rate of one window, without the failures by upstream.
nlohmann::json toJson(const BurnCounts &counts, Millis window, double successTarget);

/// Throws nlohmann::json::exception if a count is missing.
BurnCounts burnCountsFrom(const nlohmann::json &window);

} // namespace mustardpond
