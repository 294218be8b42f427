// Leave of a replica whose process is about to stop.
//
// A process can't tell a restart from its removal. If a voter just ended, the group would learn of it from its silence, and one more loss before
// that could end a group that has a learner with the whole log. A leaving replica therefore announces to all others that it leaves, until the
// leader has replaced it by a learner, or answers that no learner can. Until then it votes and stores entries as before: the learner is added
// before the leaving voter is demoted, and with the leaving one gone, one loss in between would end the group.
//
// Example:
//     leave.begin();
//     if (leave.isAnnouncementDue(now)) { /* announce to all replicas */ }
//     leave.recordStatus(replica, fromInstance, status);     // for each reply
//     if (leave.isSettled(replica, admission, now)) { /* stop */ }
//
// Thread safety: none; owned by the control thread. Cost: O(members).

#ifndef PADDLEPIER_CONSENSUS_LEAVE_H
#define PADDLEPIER_CONSENSUS_LEAVE_H

#include "paddlepier/consensus/admission.h"
#include "paddlepier/consensus/replica.h"

#include <string>

namespace paddlepier::consensus
{

class Leave
{
public:
    /** @param leavingReplica  identity of the replica that may leave */
    explicit Leave(std::string leavingReplica);

    void begin();
    bool hasBegun() const;
    /** True at most once in each announcement interval, after begin(). */
    bool isAnnouncementDue(Timestamp now);
    /** Records the reply of @p fromInstance to an announcement. Only the leader's settles the leave. */
    void recordStatus(const Replica &replica, const std::string &fromInstance, wire::LeaveStatus status);
    /** Whether the group gains nothing if the process waits any longer. A leader hands over first, unless no other replica is left to do so. */
    bool isSettled(const Replica &replica, const Admission &admission, Timestamp now) const;

private:
    const std::string self;
    bool begun = false;
    bool settledByLeader = false;
    Timestamp nextAnnouncement = absl::InfinitePast();
};

} // namespace paddlepier::consensus

#endif
