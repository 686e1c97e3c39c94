#include "bodydigest.h"

#include <xxhash.h>

namespace mustardpond {

std::uint64_t bodyDigest(const std::vector<std::uint8_t> &body)
{
    return XXH3_64bits(body.data(), body.size());
}

StreamDigest::StreamDigest()
    : m_state(XXH3_createState())
{
    XXH3_64bits_reset(m_state.get());
}

void StreamDigest::add(const void *data, std::size_t bytes)
{
    XXH3_64bits_update(m_state.get(), data, bytes);
}

std::uint64_t StreamDigest::value() const
{
    return XXH3_64bits_digest(m_state.get());
}

void StreamDigest::StateDeleter::operator()(XXH3_state_s *state) const
{
    XXH3_freeState(state);
}

} // namespace mustardpond
