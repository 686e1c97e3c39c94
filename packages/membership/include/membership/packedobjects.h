/// Records of objects as they travel: large values are packed once for each version.
#pragma once

#include "config/objectstore.h"
#include "wire/generated/frames_generated.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardpond {

/// Not thread-safe.
class PackedObjects
{
public:
    wire::ObjectRecordT record(const StoredObject &object);

private:
    struct Packed {
        std::uint64_t version = 0;
        std::vector<std::uint8_t> bytes;
    };

    std::map<std::string, Packed> m_packed; ///< the newest version of each large object
};

} // namespace mustardpond
