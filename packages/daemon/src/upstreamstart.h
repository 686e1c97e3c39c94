/// One start of an upstream. A later start under the same id does not run what was sent to this one.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace mustardpond {

struct UpstreamStart {
    std::string id;
    std::uint64_t born = 0; ///< start time in Unix milliseconds; 0 when it is unknown
};

inline bool operator<(const UpstreamStart &a, const UpstreamStart &b)
{
    return std::tie(a.id, a.born) < std::tie(b.id, b.born);
}

} // namespace mustardpond
