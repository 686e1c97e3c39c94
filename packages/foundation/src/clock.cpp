#include "foundation/clock.h"

#include <chrono>
#include <ctime>

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
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return toMillis(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

Millis wallClockNow()
{
    return toMillis(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace mustardpond
