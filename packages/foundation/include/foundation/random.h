/// Random number generators behind an interface, so that a run can be reproduced from its seed.
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

    /// Returns a number in [0, bound), or 0 if bound is 0.
    std::size_t below(std::size_t bound);
    /// Returns a number in [0, 1).
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

/// Random numbers from the operating system, for identifiers that must be unique.
class SystemRandom : public Random
{
public:
    std::uint64_t next() override;

private:
    std::random_device m_device;
};

} // namespace mustardpond
