/// The burn of the whole fleet, added up from its daemons.
#pragma once

#include "decision/burn.h"

#include <nlohmann/json.hpp>

#include <array>
#include <map>
#include <string>

namespace mustardpond {

/// One window over all daemons, with the data centre of each upstream that burns the budget.
struct FleetWindow {
    BurnWindow window;
    std::map<std::string, std::string> dataCentres; ///< by upstream
};

struct ClassBurn {
    double successTarget = 0;
    std::array<FleetWindow, BURN_WINDOWS.size()> windows;
};

/// By "service/class".
using BurnByClass = std::map<std::string, ClassBurn>;

/// Adds what one daemon serves at /burn.
void addBurn(BurnByClass &sum, const nlohmann::json &document);

/// Length of a window of BURN_WINDOWS in minutes.
double windowMinutes(std::size_t window);

/// Share of the slowest window's budget that is left, in [0, 1].
double budgetLeft(const ClassBurn &burn);

nlohmann::json burnJson(const BurnByClass &sum);
/// A table, and below each class the upstreams that burned its budget in the slowest window.
std::string burnText(const BurnByClass &sum);

} // namespace mustardpond
