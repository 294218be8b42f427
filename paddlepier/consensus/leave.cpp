// Leave of a replica whose process is about to stop.

#include "paddlepier/consensus/leave.h"

#include <utility>

namespace paddlepier::consensus
{

namespace
{

/** Several announcements may be lost before the others regard the leave as withdrawn. */
constexpr Duration announcementInterval = absl::Milliseconds(50);

} // namespace

Leave::Leave(std::string leavingReplica)
    : self(std::move(leavingReplica))
{
}

void Leave::begin()
{
    this->begun = true;
}

bool Leave::hasBegun() const
{
    return this->begun;
}

bool Leave::isAnnouncementDue(Timestamp now)
{
    if (!this->begun || now < this->nextAnnouncement) {
        return false;
    }
    this->nextAnnouncement = now + announcementInterval;
    return true;
}

void Leave::recordStatus(const Replica &replica, const std::string &fromInstance, wire::LeaveStatus status)
{
    // A leader of an older build doesn't replace leaving replicas, so that there is nothing to wait for.
    const bool isFinal = status == wire::LeaveStatus::Settled || status == wire::LeaveStatus::Unknown;
    if (this->begun && isFinal && !replica.leader().empty() && instanceOf(replica.leader()) == fromInstance) {
        this->settledByLeader = true;
    }
}

bool Leave::isSettled(const Replica &replica, const Admission &admission, Timestamp now) const
{
    if (replica.isLeader()) {
        return !admission.hasStayingMember(replica, this->self, now);
    }
    if (this->settledByLeader || !replica.leader().empty()) {
        return this->settledByLeader;
    }
    // Without a leader, only a voter's leave changes anything, and only if another voter stays that may be elected.
    return !admission.hasStayingVoterBeside(replica, this->self, now);
}

} // namespace paddlepier::consensus
