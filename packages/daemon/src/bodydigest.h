/// Digests that verify the integrity of bodies sent between daemons.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

struct XXH3_state_s;

namespace mustardpond {

/// Digest of a body carried in one frame.
std::uint64_t bodyDigest(const std::vector<std::uint8_t> &body);

/// Digest of a body carried in chunks. Equals bodyDigest() of all chunks together.
class StreamDigest
{
public:
    StreamDigest();
    void add(const void *data, std::size_t bytes);
    std::uint64_t value() const;

private:
    struct StateDeleter {
        void operator()(XXH3_state_s *state) const;
    };
    std::unique_ptr<XXH3_state_s, StateDeleter> m_state;
};

} // namespace mustardpond
