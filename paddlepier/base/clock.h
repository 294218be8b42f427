// Points in time and their source.
//
// State machines never read a clock: the process shell reads it once for each event and passes it in. Control time is
// monotonic, counts the time for which the machine was suspended, and starts with the machine, so that it can't be compared between
// machines. Promises (leases, a voter's silence) and time outs both rest on it: after a suspension they are as old as they are for
// everybody else. Wall time is used for what people read (submission times), never for a decision that a promise rests on.
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

/** Monotonic control time; unaffected by changes of the wall clock, and going on while the machine is suspended. */
Timestamp controlNow();

/** How long the machine has been suspended since it was started. */
Duration totalSuspendedTime();

/** Microseconds since 1970 on the wall clock. */
std::int64_t wallMicros();

} // namespace paddlepier

#endif
