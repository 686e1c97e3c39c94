#include "foundation/clock.h"

#include <chrono>

namespace mustardpond {

namespace {

template <typename Duration>
Millis toMillis(Duration duration)
{
    return Millis(std::chrono::duration<double, std::milli>(duration).count());
}

} // namespace

Millis SteadyClock::now() const
{
    return toMillis(std::chrono::steady_clock::now().time_since_epoch());
}

Millis wallClockNow()
{
    return toMillis(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace mustardpond
