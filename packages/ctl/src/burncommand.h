/// The "burn" command: the fleet's consumption of its error budgets.
#pragma once

#include "config/daemonsettings.h"

#include <string>
#include <vector>

namespace mustardpond {

/// Prints the burn report of all daemons to standard output, and also writes it as HTML unless the path is empty.
/// Daemons that do not answer are named on standard error. Throws Exception if the file cannot be written.
void printBurnReport(const std::vector<Endpoint> &daemons, bool json, const std::string &htmlPath);

} // namespace mustardpond
