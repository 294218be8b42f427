// Permits of a core instance to relay orders for the leader.
//
// An order may reach this instance long after its sender was replaced: it is read late if this process was paused. Links are in order, so that all
// that an instance sent before it answered a call is read before that answer. An order is therefore as recent as the newest call that its sender has
// answered as the leader before the order is read, and relayed only while that call is.
//
// Example:
//     permits.confirmLeader("core-1", presenceSentAt);        // its answer has just been read
//     if (const auto permit = permits.permitFor(now, "core-1")) { ... }
//
// Thread safety: none; owned by the control thread. The permits themselves may be checked on any thread.

#ifndef PADDLEPIER_CLUSTER_RELAYPERMITS_H
#define PADDLEPIER_CLUSTER_RELAYPERMITS_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/sendpermit.h"

#include <memory>
#include <string>

namespace paddlepier::cluster
{

/** Age of the newest answered call at which orders are no longer relayed: a few intervals of the calls, and shorter than a restart of a worker. */
constexpr Duration maxLeaderConfirmationAge = absl::Seconds(1);

class RelayPermits
{
public:
    /** An answer of @p instance as the leader has been read, to a call that was sent at @p sentAt. */
    void confirmLeader(const std::string &instance, Timestamp sentAt);
    /** @return null if @p instance isn't known to lead */
    std::shared_ptr<const execution::SendPermit> permitFor(Timestamp now, const std::string &instance) const;

private:
    std::string leader;
    /** Permit of all orders of `leader`. */
    std::shared_ptr<execution::SendPermit> permit;
    Timestamp confirmedSentAt = absl::InfinitePast();
};

} // namespace paddlepier::cluster

#endif
