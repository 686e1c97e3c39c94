/// Commands that show what the daemons report.
#pragma once

#include "config/daemonsettings.h"
#include "config/objectstore.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace mustardpond {

/// The local addresses of the daemons that have registered with the platform.
std::vector<Endpoint> findDaemons(ObjectStore &store);

/// The JSON document that a daemon serves at a path; null when it does not answer.
nlohmann::json askDaemon(const Endpoint &daemon, const std::string &target);

/// Print to standard output; daemons that do not answer are listed as such.
void printStatus(const std::vector<Endpoint> &daemons, bool json);

} // namespace mustardpond
