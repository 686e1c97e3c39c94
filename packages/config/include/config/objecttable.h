/// The objects that a node knows, each at the highest version that it has seen.
#pragma once

#include "config/objectstore.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardpond {

/// Not thread-safe. An object never returns to a lower version; a deletion is kept as a version of its own.
class ObjectTable
{
public:
    /// Takes the object over if it is newer than the known one. False when it is not.
    bool apply(const StoredObject &object);

    /// The name under which findByKey() finds an object.
    static std::string keyOf(const std::string &kind, const std::string &name);
    /// The object, deleted or not; null when unknown. Valid until the next apply().
    const StoredObject *findByKey(const std::string &key) const;

    std::uint64_t version(const std::string &kind, const std::string &name) const;
    /// The value; nothing when the object is unknown or deleted.
    std::optional<StoredObject> find(const std::string &kind, const std::string &name) const;
    /// All objects of a kind, deleted ones left out, by name.
    std::vector<StoredObject> objectsOfKind(const std::string &kind) const;
    std::vector<StoredObject> all() const;
    /// Objects of a higher version than that.
    std::vector<StoredObject> newerThan(std::uint64_t version) const;
    /// The highest version of any object; 0 without objects.
    std::uint64_t newestVersion() const
    {
        return m_newestVersion;
    }

    /// Equal for two tables that hold the same versions.
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
    std::uint64_t m_newestVersion = 0;
};

} // namespace mustardpond
