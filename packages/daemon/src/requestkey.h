/// A digest of a caller's request id. It has a fixed size, whereas callers choose the length of an id.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace mustardpond {

struct RequestKey {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
};

inline bool operator==(const RequestKey &a, const RequestKey &b)
{
    return a.high == b.high && a.low == b.low;
}

struct RequestKeyHasher {
    std::size_t operator()(const RequestKey &key) const
    {
        return static_cast<std::size_t>(key.low);
    }
};

RequestKey keyOfRequest(const std::string &id);

} // namespace mustardpond
