// Who a caller is, and which jobs it may see.
//
// The leader decides with the configuration that it holds, so that a key is good, or no longer good, everywhere from the entry
// that says so. Whether callers need keys at all is a setting of the deployment: without it every caller is served.
//
// On a public queue no key is needed; one that is shown and known makes a job its team's. Everybody may see a public queue's jobs.
//
// Example:
//     const std::optional<std::string> team = authenticate(state.teams(), queue, call.key, CallerKeys::Required);
//     if (!team) { ... 401 ... }
//
// Thread safety: free functions without state. Cost: O(1).

#ifndef PADDLEPIER_CLUSTER_AUTHENTICATION_H
#define PADDLEPIER_CLUSTER_AUTHENTICATION_H

#include "paddlepier/wire/workload_generated.h"
#include "paddlepier/workload/job.h"
#include "paddlepier/workload/teams.h"

#include <optional>
#include <string>

namespace paddlepier::cluster
{

/** What callers have to show. */
enum class CallerKeys { Ignored, Required };

/** @return the caller's team, empty if it needs none; nothing if the queue asks for a key and @p key is no team's */
std::optional<std::string> authenticate(const workload::Teams &teams, const work::QueueSpecT &queue, const std::string &key, CallerKeys keys);

/** A job of a team is shown to that team alone, unless its queue is public. */
bool canView(const workload::Job &job, const work::QueueSpecT &queue, const std::string &team);

} // namespace paddlepier::cluster

#endif
