// Names of the HTTP headers of quick requests and of their outcomes; docs/PROTOCOL.md specifies them.
//
// Thread safety: constants and pure functions.

#ifndef PADDLEPIER_INSTANCE_QUICKHEADERS_H
#define PADDLEPIER_INSTANCE_QUICKHEADERS_H

#include "paddlepier/wire/api_generated.h"

#include <array>

namespace paddlepier::instance
{

/** From the caller, and to the worker: milliseconds until the answer is no longer needed. */
constexpr const char *deadlineHeader = "Paddlepier-Deadline-Millis";
/** From the caller: `true` if the request may be executed more than once. */
constexpr const char *idempotentHeader = "Paddlepier-Idempotent";
/** From the caller: key of a request that must be executed at most once. */
constexpr const char *keyHeader = "Idempotency-Key";
/** To the worker, which must return it unchanged in its answer. */
constexpr const char *requestIdHeader = "Paddlepier-Request-Id";
/** To the worker: it must refuse the request once its own clock, in microseconds, has passed this value. */
constexpr const char *validUntilHeader = "Paddlepier-Valid-Until-Micros";
/** From the worker: the request was not executed, for the stated reason. */
constexpr const char *refusedHeader = "Paddlepier-Refused";
/** To the caller: the outcome of the request. */
constexpr const char *outcomeHeader = "Paddlepier-Outcome";
/** To the caller: milliseconds to wait before retrying. */
constexpr const char *retryAfterMillisHeader = "Paddlepier-Retry-After-Millis";
/** Between entry instances: the request has been forwarded once and must not be forwarded again. */
constexpr const char *hopHeader = "Paddlepier-Hop";
constexpr const char *cellKeyHeader = "Paddlepier-Cell-Key";

/** Value of the outcome header. */
inline const char *outcomeName(wire::RequestOutcome outcome)
{
    static constexpr std::array<const char *, 5> names{"completed", "failed", "not-run", "unknown", "in-progress"};
    return names[static_cast<std::size_t>(outcome)];
}

} // namespace paddlepier::instance

#endif
