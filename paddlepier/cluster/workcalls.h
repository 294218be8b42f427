// Calls between instances about the workload, and their results.
//
// Thread safety: plain values.

#ifndef PADDLEPIER_CLUSTER_WORKCALLS_H
#define PADDLEPIER_CLUSTER_WORKCALLS_H

#include "paddlepier/base/error.h"
#include "paddlepier/wire/workload_generated.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace paddlepier::cluster
{

enum class WorkMethod { Job, Announce, Withdraw, Configure, ReadConfiguration, Presence, Advise, Carry, Evacuate, Heartbeats };

const char *nameOf(WorkMethod method);
std::optional<WorkMethod> workMethodFromName(std::string_view name);

/** Result of a call to the leader. */
struct CallResult {
    /** None, or why there is no answer: NotLeader (certainly not accepted) or Timeout (may have been accepted, or may be later). */
    ErrorCode error = ErrorCode::None;
    work::WorkReplyT reply;
};

using CallCallback = std::function<void(const CallResult &)>;

} // namespace paddlepier::cluster

#endif
