// Clocks of the process.
//
// State machines never read a clock: the process reads it once per event and passes the value in. Control time is monotonic, includes the
// time for which the machine was suspended, and starts at boot, so that values of different machines can't be compared. Leases, voting
// restrictions and timeouts are measured in control time: after a suspension they have aged as much as on the other machines. Wall time is
// used for values shown to people (submission times), never for decisions about leases or votes.
//
// Thread safety: free functions without state.

#ifndef PADDLEPIER_BASE_CLOCK_H
#define PADDLEPIER_BASE_CLOCK_H

#include <absl/time/time.h>

#include <cstdint>

namespace paddlepier
{

/** A point in control time. */
using Timestamp = absl::Time;
using Duration = absl::Duration;

/** Current control time: unaffected by changes of the wall clock, and advancing while the machine is suspended. */
Timestamp controlNow();

/** Total time for which the machine has been suspended since boot. */
Duration totalSuspendedTime();

/** Wall-clock time in microseconds since 1970. */
std::int64_t wallMicros();

} // namespace paddlepier

#endif
