/// The platform's object API as the rest of the system uses it.
#pragma once

#include "foundation/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardpond {

/// One object of the platform with the version that the platform gave it.
struct StoredObject {
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    bool deleted = false;
    std::string value; ///< JSON text
};

/// Objects, and the store's revision that they are current at.
struct Listing {
    std::uint64_t revision = 0;
    std::vector<StoredObject> objects;
};

/// Blocking calls. All throw StoreOutage when the platform fails or does not answer in time; a write may have
/// taken effect then.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual Listing list() = 0;
    /// Throws Exception(NotFound).
    virtual StoredObject read(const std::string &kind, const std::string &name) = 0;
    /// Writes if the object's version is the expected one; 0 stands for "does not exist". Returns the new version.
    /// Throws Conflict.
    virtual std::uint64_t write(const StoredObject &object, std::uint64_t expectedVersion) = 0;
    /// Waits until something changes after the revision, at most for the given time.
    virtual Listing watch(std::uint64_t revision, Millis timeout) = 0;
};

} // namespace mustardpond
