// Names of the HTTP headers of quick requests, and of outcomes; docs/PROTOCOL.md states their meaning.
//
// Thread safety: constants and pure functions.

#ifndef PADDLEPIER_INSTANCE_QUICKHEADERS_H
#define PADDLEPIER_INSTANCE_QUICKHEADERS_H

#include "paddlepier/wire/api_generated.h"

#include <array>

namespace paddlepier::instance
{

/** Caller and worker: milliseconds until the answer is of no use any more. */
constexpr const char *deadlineHeader = "Paddlepier-Deadline-Millis";
/** Caller: `true` if the request may be run more than once. */
constexpr const char *idempotentHeader = "Paddlepier-Idempotent";
/** Caller: key of a request that must not be repeated. */
constexpr const char *keyHeader = "Idempotency-Key";
/** Worker: must be sent back as it came. */
constexpr const char *requestIdHeader = "Paddlepier-Request-Id";
/** Worker: refuse the request if the own clock is past this, in microseconds. */
constexpr const char *validUntilHeader = "Paddlepier-Valid-Until-Micros";
/** Worker's answer: the request was not run, for the stated reason. */
constexpr const char *refusedHeader = "Paddlepier-Refused";
/** Answer to the caller: how the request ended. */
constexpr const char *outcomeHeader = "Paddlepier-Outcome";
/** Answer to the caller: when to come back. */
constexpr const char *retryAfterMillisHeader = "Paddlepier-Retry-After-Millis";
/** Between entry instances: the request was passed on once. */
constexpr const char *hopHeader = "Paddlepier-Hop";
constexpr const char *cellKeyHeader = "Paddlepier-Cell-Key";

/** Name of an outcome as it stands in the outcome header. */
inline const char *outcomeName(wire::RequestOutcome outcome)
{
    static constexpr std::array<const char *, 5> names{"completed", "failed", "not-run", "unknown", "in-progress"};
    return names[static_cast<std::size_t>(outcome)];
}

} // namespace paddlepier::instance

#endif
