/// The burn report as one HTML page that needs nothing else.
#pragma once

#include "burnreport.h"

#include <string>

namespace mustardpond {

/// One section a class: the burn rate of each window as a bar against the rate that uses the budget up exactly, and the
/// upstreams and data centres that burn it.
std::string burnPage(const BurnByClass &sum);

} // namespace mustardpond
