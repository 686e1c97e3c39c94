#include "bundleinforce.h"

namespace mustardpond {

ObjectVersion bundleVersion(const ConfigSnapshot &config)
{
    const std::string prefix = ObjectTable::keyOf(std::string(nameOf(OBJECT_KIND_NAMES, ObjectKind::Bundle)), "");
    ObjectVersion newest;
    for (const auto &[key, version] : config.versions()) {
        if (key.compare(0, prefix.size(), prefix) == 0 && supersedes(version, newest)) {
            newest = version;
        }
    }
    return newest;
}

bool hasOrganisations(const ConfigSnapshot &config)
{
    return config.organisations() != nullptr;
}

} // namespace mustardpond
