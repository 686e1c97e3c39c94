/// Interface to the platform's object API.
#pragma once

#include "decision/objectversion.h"
#include "foundation/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardpond {

/// An object with the version that the platform assigned to it.
struct StoredObject {
    std::string kind;
    std::string name;
    ObjectVersion version;
    bool deleted = false;
    std::string value; ///< JSON text
};

/// Objects as of a revision of the store.
struct Listing {
    std::uint64_t revision = 0; ///< in the era
    std::vector<StoredObject> objects;
    std::vector<StoredObject> unreadable; ///< left out of objects; without value, name and version if they are unknown
    std::uint64_t era = 0; ///< see ObjectVersion
    bool complete = false; ///< all objects, not the changes since the watched revision
};

/// All calls block, and throw StoreOutage if the platform fails or does not answer in time; a write may have taken
/// effect then.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual Listing list() = 0;
    /// Throws Exception(NotFound) if there is no such object.
    virtual StoredObject read(const std::string &kind, const std::string &name) = 0;
    /// Writes the object if its stored revision is the expected one, where 0 means that it does not exist. Returns the
    /// new revision. Throws Conflict if the stored revision differs.
    virtual std::uint64_t write(const StoredObject &object, std::uint64_t expectedRevision) = 0;
    /// Waits until an object changes after the revision, at most for the timeout.
    virtual Listing watch(std::uint64_t revision, Millis timeout) = 0;
};

} // namespace mustardpond
