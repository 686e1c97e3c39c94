/// The burn report as a self-contained HTML page.
#pragma once

#include "burnreport.h"

#include <string>

namespace mustardpond {

/// Returns a page with one section per class: bars of the burn rate per window, a line at the rate that uses up the
/// budget exactly, and the failures by upstream and data centre.
std::string burnPage(const BurnByClass &total);

} // namespace mustardpond
