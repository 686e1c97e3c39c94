/// The organisations of a bundle as it lists them, not yet checked against each other.
#pragma once

#include "config/keyhash.h"
#include "decision/organisation.h"
#include "foundation/fieldreader.h"

#include <string>
#include <vector>

namespace mustardpond {

struct OrganisationEntry {
    Organisation organisation;
    std::vector<KeyHash> keys;
    std::size_t unusableKeys = 0; ///< number of keys that are empty, too long or not a text
    std::string problem; ///< why the organisation is left out; empty if it is valid
};

struct OrganisationList {
    KeySalt salt;
    std::vector<OrganisationEntry> entries;
};

/// Reads {"salt": text, "entries": [{"name", "keys": [hash, ...], "priority", "ratePerSecond", "burst"}, ...]}. An
/// empty text stands for an unusable key. An invalid entry is marked as such. Throws InvalidField if the list itself is
/// invalid.
OrganisationList organisationListFrom(FieldReader reader);

} // namespace mustardpond
