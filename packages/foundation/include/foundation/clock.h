/// Time as the whole project sees it: one value type in milliseconds and the interface that reads it.
#pragma once

namespace mustardpond {

/// A point in time or a length of time, in milliseconds. Fractions are kept.
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

/// Reads a monotonic time.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Milliseconds since an arbitrary fixed start; never decreases.
    virtual Millis now() const = 0;
};

/// The monotonic clock of the operating system. It goes on while the host is suspended, so that deadlines and the age
/// of what is known stay true.
class SteadyClock : public Clock
{
public:
    Millis now() const override;
};

/// A clock that moves only when told to; for tests and for embedding in a simulation.
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

/// Milliseconds since the Unix epoch, for values that people or other hosts read.
Millis wallClockNow();

} // namespace mustardpond
