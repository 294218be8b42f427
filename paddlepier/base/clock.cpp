// Clocks of the process.

#include "paddlepier/base/clock.h"

#include <absl/time/clock.h>

#include <ctime>

namespace paddlepier
{

namespace
{

Duration read(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return absl::DurationFromTimespec(time);
}

} // namespace

Timestamp controlNow()
{
    // CLOCK_MONOTONIC does not advance while the machine is suspended: a leader would consider its lease valid after another was elected.
    return absl::UnixEpoch() + read(CLOCK_BOOTTIME);
}

Duration totalSuspendedTime()
{
    const Duration steady = read(CLOCK_MONOTONIC);
    return read(CLOCK_BOOTTIME) - steady;
}

std::int64_t wallMicros()
{
    return absl::ToUnixMicros(absl::Now());
}

} // namespace paddlepier
