/// Encoding of configuration objects as wire records.
#pragma once

#include "config/objectstore.h"
#include "wire/generated/frames_generated.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardpond {

/// Compresses large values and caches the result, so that each version is compressed only once. Not thread-safe.
class ObjectRecordEncoder
{
public:
    wire::ObjectRecordT encode(const StoredObject &object);

private:
    struct CompressedValue {
        ObjectVersion version;
        std::vector<std::uint8_t> bytes;
    };

    std::map<std::string, CompressedValue> m_compressed; ///< latest encoded version of each large object, by its key
};

} // namespace mustardpond
