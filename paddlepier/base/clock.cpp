// Clocks of the process.

#include "paddlepier/base/clock.h"

#include <absl/time/clock.h>

#include <chrono>

namespace paddlepier
{

Timestamp controlNow()
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return absl::UnixEpoch() + absl::FromChrono(sinceBoot);
}

std::int64_t wallMicros()
{
    return absl::ToUnixMicros(absl::Now());
}

} // namespace paddlepier
