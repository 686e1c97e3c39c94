#include "bundleinforce.h"

#include <algorithm>

namespace mustardpond {

std::uint64_t bundleVersion(const ConfigSnapshot &config)
{
    const std::string prefix = ObjectTable::keyOf(std::string(nameOf(OBJECT_KIND_NAMES, ObjectKind::Bundle)), "");
    std::uint64_t newest = 0;
    for (const auto &[key, version] : config.versions()) {
        if (key.compare(0, prefix.size(), prefix) == 0) {
            newest = std::max(newest, version);
        }
    }
    return newest;
}

bool hasOrganisations(const ConfigSnapshot &config)
{
    return config.organisations() != nullptr;
}

} // namespace mustardpond
