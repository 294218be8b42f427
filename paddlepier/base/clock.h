// Points in time and their source.
//
// State machines never read a clock: the process shell reads it once for each event and passes it in. Control time is
// monotonic and starts near zero with the process, so it can't be compared between processes. Wall time is used for
// what people read (submission times), never for a decision that a promise rests on.
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

/** Monotonic control time; unaffected by changes of the wall clock. */
Timestamp controlNow();

/** Microseconds since 1970 on the wall clock. */
std::int64_t wallMicros();

} // namespace paddlepier

#endif
