/// Requests to the daemons, and the "status" command.
#pragma once

#include "config/daemonsettings.h"
#include "config/objectstore.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace mustardpond {

/// Returns the local addresses of the daemons that are registered with the platform.
std::vector<Endpoint> findDaemons(ObjectStore &store);

/// Returns the JSON document that a daemon serves at a path; null if it does not answer with status 200.
nlohmann::json fetchFromDaemon(const Endpoint &daemon, const std::string &target);

/// Prints the status of the daemons to standard output; daemons that do not answer are listed as such.
void printStatus(const std::vector<Endpoint> &daemons, bool json);

} // namespace mustardpond
