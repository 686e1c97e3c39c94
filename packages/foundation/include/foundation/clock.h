/// The time type used throughout the project, and clocks.
#pragma once

namespace mustardpond {

/// A point in time or a duration, in milliseconds with fractions.
struct Millis {
    double value = 0;

    constexpr Millis() = default;
    constexpr explicit Millis(double milliseconds)
        : value(milliseconds)
    {
    }
};

constexpr Millis operator+(Millis a, Millis b)
{
    return Millis(a.value + b.value);
}
constexpr Millis operator-(Millis a, Millis b)
{
    return Millis(a.value - b.value);
}
constexpr Millis operator*(Millis a, double factor)
{
    return Millis(a.value * factor);
}
constexpr double operator/(Millis a, Millis b)
{
    return a.value / b.value;
}
constexpr bool operator<(Millis a, Millis b)
{
    return a.value < b.value;
}
constexpr bool operator>(Millis a, Millis b)
{
    return a.value > b.value;
}
constexpr bool operator<=(Millis a, Millis b)
{
    return a.value <= b.value;
}
constexpr bool operator>=(Millis a, Millis b)
{
    return a.value >= b.value;
}
constexpr bool operator==(Millis a, Millis b)
{
    return a.value == b.value;
}
constexpr bool operator!=(Millis a, Millis b)
{
    return a.value != b.value;
}

/// A monotonic clock.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Returns the time since an arbitrary fixed point. It never decreases.
    virtual Millis now() const = 0;
};

/// The operating system's monotonic clock. It keeps running while the host is suspended, so that deadlines and the age
/// of received state stay correct.
class SteadyClock : public Clock
{
public:
    Millis now() const override;
};

/// A clock that only advance() moves, for tests and simulations.
class ManualClock : public Clock
{
public:
    Millis now() const override
    {
        return m_now;
    }
    void advance(Millis step)
    {
        m_now = m_now + step;
    }

private:
    Millis m_now;
};

/// Returns the time since the Unix epoch, for values that are shown to people or sent to other hosts.
Millis wallClockNow();

} // namespace mustardpond
