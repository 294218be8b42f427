// Answers announcements of workers that tell nothing new on replicas that don't lead, and tells the leader of them in batches.
//
// Thousands of workers announce themselves every other second, nearly always with what the replicated state holds already. The
// leader needs to know no more of such an announcement than that it came. One that differs in anything goes to the leader
// itself: a worker that joins, changes its room or drains is acknowledged by the leader alone, after the commit.
//
// A replica that is behind the leader may take an announcement for nothing new that returns to an older room. The next one finds
// it up to date; only a replica that has heard from the leader lately may answer.
//
// Example:
//     if (relay.absorb(state, call)) { answer(); }
//     leader.call(WorkMethod::Heartbeats, wire::pack(relay.take()));
//
// Thread safety: none; owned by the control thread. Cost: O(log workers) an announcement.

#ifndef PADDLEPIER_CLUSTER_HEARTBEATBATCHER_H
#define PADDLEPIER_CLUSTER_HEARTBEATBATCHER_H

#include "paddlepier/wire/workload_generated.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>
#include <map>

namespace paddlepier::cluster
{

class HeartbeatRelay
{
public:
    /** @return true if the announcement tells nothing new; the leader is to be told of it with the next batch */
    bool absorb(const workload::Workload &state, const work::AnnounceCallT &call);
    bool isEmpty() const;
    /** The newest of each life since the last call. */
    work::HeartbeatsCallT take();

private:
    std::map<workload::Life, std::uint64_t> sequences;
};

} // namespace paddlepier::cluster

#endif
