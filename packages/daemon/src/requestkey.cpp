#include "requestkey.h"

#include <xxhash.h>

namespace mustardpond {

RequestKey keyOfRequest(const std::string &id)
{
    const XXH128_hash_t hash = XXH3_128bits(id.data(), id.size());
    return {hash.high64, hash.low64};
}

} // namespace mustardpond
