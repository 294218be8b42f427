// Answers workers' announcements that contain nothing new on replicas that aren't the leader, and collects them for the
// leader.
//
// Thousands of workers announce themselves every other second, nearly always with what the replicated state already
// contains. The leader only needs to know that such an announcement came, so it is reported in batches. An announcement
// that differs in anything is forwarded: a worker that joins, changes its capacity or drains is acknowledged by the
// leader only, after the commit.
//
// A replica that lags behind the leader may absorb an announcement that returns to an earlier capacity. The worker's
// next announcement corrects this, because only a replica that has recently heard from the leader may absorb.
//
// Example:
//     if (batcher.absorb(state, call)) { answer(); }
//     leader.call(WorkMethod::Heartbeats, wire::pack(batcher.drain()));
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

class HeartbeatBatcher
{
public:
    /** @return true if the announcement contains nothing new; it is then part of the next batch for the leader */
    bool absorb(const workload::Workload &state, const work::AnnounceCallT &call);
    bool isEmpty() const;
    /** Returns the newest sequence number of each incarnation since the last call. */
    work::HeartbeatsCallT drain();

private:
    std::map<workload::Incarnation, std::uint64_t> sequences;
};

} // namespace paddlepier::cluster

#endif
