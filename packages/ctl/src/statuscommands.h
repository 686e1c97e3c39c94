/// Commands that show what the daemons report.
#pragma once

#include "config/daemonsettings.h"
#include "config/objectstore.h"

#include <string>
#include <vector>

namespace mustardpond {

/// The local addresses of the daemons that have registered with the platform.
std::vector<Endpoint> findDaemons(ObjectStore &store);

/// Print to standard output; daemons that do not answer are listed as such.
void printStatus(const std::vector<Endpoint> &daemons, bool json);
/// Adds up the burn of all daemons per service and class.
void printBurn(const std::vector<Endpoint> &daemons, bool json);

} // namespace mustardpond
