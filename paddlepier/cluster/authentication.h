// Authenticates callers and decides which jobs they may see.
//
// The leader decides, using the configuration in its ledger: a key becomes valid or invalid everywhere with the ledger
// entry that adds or removes it. Whether callers need keys at all is a setting of the deployment; if they don't, keys
// are ignored and every caller is served.
//
// A public queue needs no key; a valid key that is sent nevertheless assigns the job to its team, and an invalid one is
// ignored. Every caller may see the jobs that a public queue has accepted. Whether it was public is decided when the job is accepted: a queue that
// becomes public, or takes the place of another one, doesn't expose jobs that a team has submitted in confidence.
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

/** Whether callers must authenticate. */
enum class CallerKeys { Ignored, Required };

/** @return the caller's team, empty if it has none and needs none; nothing if a key is required and @p key belongs to no team */
std::optional<std::string> authenticate(const workload::Teams &teams, const work::QueueSpecT &queue, const std::string &key, CallerKeys keys);

/** A job that belongs to a team is visible to that team only, unless a public queue accepted it; a job without a team is visible to every caller. */
bool canView(const workload::Job &job, const std::string &team);

} // namespace paddlepier::cluster

#endif
