/// The command "burn".
#pragma once

#include "config/daemonsettings.h"

#include <string>
#include <vector>

namespace mustardpond {

/// Adds up the burn of all daemons and prints it to standard output; daemons that do not answer are named on standard
/// error. Writes an HTML page besides, if a file is named. Throws Exception if that cannot be written.
void printBurn(const std::vector<Endpoint> &daemons, bool json, const std::string &page);

} // namespace mustardpond
