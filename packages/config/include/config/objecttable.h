/// A node's copy of all objects, each at the newest version received.
#pragma once

#include "config/objectstore.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardpond {

/// Not thread-safe. An object never returns to a lower version. A deletion is stored as a version of the object.
class ObjectTable
{
public:
    /// Stores the object if it is newer than the stored one. Returns whether it was stored.
    bool apply(const StoredObject &object);

    /// Returns the key of an object for findByKey().
    static std::string keyOf(const std::string &kind, const std::string &name);
    /// Returns the object, deleted or not, or null if it is unknown. The pointer is valid until the next apply().
    const StoredObject *findByKey(const std::string &key) const;

    /// Returns the object's version, or one without a revision if it is unknown.
    ObjectVersion version(const std::string &kind, const std::string &name) const;
    /// Returns the object, or nothing if it is unknown or deleted.
    std::optional<StoredObject> find(const std::string &kind, const std::string &name) const;
    /// Returns the objects of a kind without deleted ones, sorted by name.
    std::vector<StoredObject> objectsOfKind(const std::string &kind) const;
    /// Returns all objects, including deleted ones.
    std::vector<StoredObject> all() const;
    /// Returns the objects with a newer version, including deleted ones.
    std::vector<StoredObject> newerThan(const ObjectVersion &version) const;
    /// Returns the version of each object by the hash of its key.
    std::unordered_map<std::uint64_t, ObjectVersion> versionsByHash() const;
    /// Returns the objects, including deleted ones, that are missing among the given versions or newer than there.
    std::vector<StoredObject> newerThan(const std::unordered_map<std::uint64_t, ObjectVersion> &versionsByHash) const;
    /// Returns the newest version of all objects, or one without a revision if there are no objects.
    const ObjectVersion &newestVersion() const
    {
        return m_newestVersion;
    }

    /// Returns a hash that is equal for tables that hold the same versions of the same objects.
    std::uint64_t digest() const
    {
        return m_digest;
    }
    std::size_t size() const
    {
        return m_objects.size();
    }

private:
    std::unordered_map<std::string, StoredObject> m_objects;
    std::uint64_t m_digest = 0;
    ObjectVersion m_newestVersion;
};

} // namespace mustardpond
