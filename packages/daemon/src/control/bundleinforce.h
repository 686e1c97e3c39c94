/// The bundle that a configuration was built from.
#pragma once

#include "config/configsnapshot.h"

namespace mustardpond {

/// Returns the version of the bundle in force, the only object of its kind; one without a revision if there is none.
ObjectVersion bundleVersion(const ConfigSnapshot &config);

/// Whether the configuration has organisations, whose requests need keys.
bool hasOrganisations(const ConfigSnapshot &config);

} // namespace mustardpond
