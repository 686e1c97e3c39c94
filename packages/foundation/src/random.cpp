#include "foundation/random.h"

namespace mustardpond {

std::size_t Random::below(std::size_t bound)
{
    return bound == 0 ? 0 : next() % bound;
}

double Random::uniform()
{
    // The upper 53 bits fill the mantissa of a double.
    constexpr int MANTISSA_SHIFT = 11;
    constexpr double SCALE = 1.0 / 9007199254740992.0;
    return static_cast<double>(next() >> MANTISSA_SHIFT) * SCALE;
}

std::uint64_t SystemRandom::next()
{
    constexpr int HALF_BITS = 32;
    const std::uint64_t high = m_device();
    return (high << HALF_BITS) | m_device();
}

} // namespace mustardpond
