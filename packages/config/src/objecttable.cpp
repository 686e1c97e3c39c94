#include "config/objecttable.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace mustardpond {

namespace {

std::uint64_t hashOf(const std::string &key, const ObjectVersion &version)
{
    const std::array<std::uint64_t, 2> origin{version.edition, version.era};
    const std::uint64_t seed = version.isPlain() ? 0 : XXH64(origin.data(), sizeof(origin), 0);
    return XXH64(key.data(), key.size(), version.revision ^ seed);
}

} // namespace

std::string ObjectTable::keyOf(const std::string &kind, const std::string &name)
{
    return kind + "/" + name;
}

const StoredObject *ObjectTable::findByKey(const std::string &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

bool ObjectTable::apply(const StoredObject &object)
{
    const std::string key = keyOf(object.kind, object.name);
    const auto found = m_objects.find(key);
    if (found != m_objects.end()) {
        if (!supersedes(object.version, found->second.version)) {
            return false;
        }
        m_digest ^= hashOf(key, found->second.version);
    }
    m_digest ^= hashOf(key, object.version);
    if (supersedes(object.version, m_newestVersion)) {
        m_newestVersion = object.version;
    }
    m_objects[key] = object;
    return true;
}

ObjectVersion ObjectTable::version(const std::string &kind, const std::string &name) const
{
    const auto found = m_objects.find(keyOf(kind, name));
    return found == m_objects.end() ? ObjectVersion() : found->second.version;
}

std::optional<StoredObject> ObjectTable::find(const std::string &kind, const std::string &name) const
{
    const auto found = m_objects.find(keyOf(kind, name));
    if (found == m_objects.end() || found->second.deleted) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<StoredObject> ObjectTable::objectsOfKind(const std::string &kind) const
{
    std::vector<StoredObject> list;
    for (const auto &[key, object] : m_objects) {
        if (object.kind == kind && !object.deleted) {
            list.push_back(object);
        }
    }
    std::sort(list.begin(), list.end(), [](const auto &a, const auto &b) { return a.name < b.name; });
    return list;
}

std::vector<StoredObject> ObjectTable::all() const
{
    return newerThan(ObjectVersion());
}

std::vector<StoredObject> ObjectTable::newerThan(const ObjectVersion &version) const
{
    std::vector<StoredObject> list;
    for (const auto &[key, object] : m_objects) {
        if (supersedes(object.version, version)) {
            list.push_back(object);
        }
    }
    return list;
}

std::unordered_map<std::uint64_t, ObjectVersion> ObjectTable::versionsByHash() const
{
    std::unordered_map<std::uint64_t, ObjectVersion> versions;
    for (const auto &[key, object] : m_objects) {
        versions[hashOf(key, 0)] = object.version;
    }
    return versions;
}

std::vector<StoredObject>
ObjectTable::newerThan(const std::unordered_map<std::uint64_t, ObjectVersion> &versionsByHash) const
{
    std::vector<StoredObject> list;
    for (const auto &[key, object] : m_objects) {
        const auto known = versionsByHash.find(hashOf(key, 0));
        if (known == versionsByHash.end() || supersedes(object.version, known->second)) {
            list.push_back(object);
        }
    }
    return list;
}

} // namespace mustardpond
