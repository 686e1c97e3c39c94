/// Error budget burn of the whole fleet, aggregated from all daemons.
#pragma once

#include "decision/burn.h"

#include <nlohmann/json.hpp>

#include <array>
#include <map>
#include <string>

namespace mustardpond {

/// One window aggregated over all daemons, with the data centre of each upstream that had failures.
struct FleetWindow {
    BurnWindow window;
    std::map<std::string, std::string> dataCentres; ///< by upstream
};

struct ClassBurn {
    double successTarget = 0;
    std::array<FleetWindow, BURN_WINDOWS.size()> windows;
};

/// Keyed by "service/class".
using BurnByClass = std::map<std::string, ClassBurn>;

/// Adds the document that one daemon serves at /burn. Throws nlohmann::json::exception if a field is missing.
void addDaemonBurn(BurnByClass &total, const nlohmann::json &document);

/// Returns the length of a window in minutes, given its index in BURN_WINDOWS.
double windowMinutes(std::size_t window);

/// Returns the fraction of the longest window's error budget that remains, in [0, 1].
double remainingBudget(const ClassBurn &burn);

nlohmann::json burnJson(const BurnByClass &total);
/// Returns a table with the upstreams that had failures in the longest window below each class.
std::string burnText(const BurnByClass &total);

} // namespace mustardpond
