/// Randomness as an interface, so that a seed replays a run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace mustardpond {

/// A source of random 64-bit numbers.
class Random
{
public:
    virtual ~Random() = default;
    virtual std::uint64_t next() = 0;

    /// A number in [0, bound); 0 when bound is 0.
    std::size_t below(std::size_t bound);
    /// A number in [0, 1).
    double uniform();
};

/// A reproducible generator.
class SeededRandom : public Random
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    std::uint64_t next() override
    {
        return m_engine();
    }

private:
    std::mt19937_64 m_engine;
};

/// Numbers from the operating system, for identities that must not repeat.
class SystemRandom : public Random
{
public:
    std::uint64_t next() override;

private:
    std::random_device m_device;
};

} // namespace mustardpond
