// Admission of replicas to a group by its leader.
//
// A replica requests admission under its own identity and the name of its instance. It first becomes a learner. When it
// holds the whole committed log durably, an older replica of the same instance is removed and the new one becomes a
// voter. One replica changes at a time, so that any two consecutive majorities overlap.
//
// If the number of voters is limited, a further replica stays a learner until it can replace a voter that has been
// unresponsive for the voter timeout. It also replaces a healthy voter whose data centre has at least two voters more
// than its own: when many instances request admission at the same time, those of one data centre may come first, and
// the loss of that data centre would be the loss of a majority. The new voter is added before the other one is demoted,
// so that the group never has fewer healthy voters than before.
//
// A voter that announces its leave (leave.h) is replaced by a learner in the same order, while it still answers. Without a learner that holds the
// whole log it stays a voter, since its process may be about to restart.
//
// Example:
//     admission.request("atlanta-1-a", "atlanta-1-a/9f...");
//     admission.recordLeave("atlanta-1-b/4c...", now);
//     admission.advance(replica, now);         // as leader, periodically
//
// Thread safety: none; owned by the control thread. Cost: advance() is O(replicas).

#ifndef PADDLEPIER_CONSENSUS_ADMISSION_H
#define PADDLEPIER_CONSENSUS_ADMISSION_H

#include "paddlepier/consensus/replica.h"

#include <functional>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace paddlepier::consensus
{

std::string instanceOf(const std::string &replica);

class Admission
{
public:
    /** A completed step, for the log: a learner was added, a voter or replica was removed or demoted, a voter was added. */
    enum class Step { Learns, Removed, Votes };
    using Observer = std::function<void(Step step, const std::string &replica)>;

    /** Maximum number of voters, and the time after which an unresponsive one may be replaced. */
    struct Limits {
        std::size_t maxVoters = std::numeric_limits<std::size_t>::max();
        Duration voterTimeout = absl::InfiniteDuration();
        /** Data centre of an instance; empty while it is unknown. */
        std::function<std::string(const std::string &instance)> dataCentreOf = [](const std::string &) { return std::string(); };
    };

    /** A replica that answers the leader for longer than this without renewing its announcement has returned from its leave. */
    static constexpr Duration leaveRenewalTimeout = absl::Milliseconds(500);

    explicit Admission(Observer stepObserver);
    Admission(Observer stepObserver, Limits admissionLimits);

    /** Ends the leave of an earlier process of this instance. */
    void request(const std::string &instance, const std::string &replica);

    /** Records that @p replica has announced its leave. Any replica may be elected, so that all record it. */
    void recordLeave(const std::string &replica, Timestamp now);
    /** True if @p name has announced its leave within the voter timeout and isn't known to have returned; later its silence shows that it is gone. */
    bool isLeaving(const Replica &replica, const std::string &name, Timestamp now) const;
    /** What @p name, which leaves, has to wait for. */
    wire::LeaveStatus leaveStatusOf(const Replica &replica, const std::string &name, Timestamp now) const;
    /** Voters that leave; leadership isn't transferred to them. */
    std::vector<std::string> leavingVoters(const Replica &replica, Timestamp now) const;
    /** True if @p replica votes and a voter other than @p self doesn't leave. */
    bool hasStayingVoterBeside(const Replica &replica, const std::string &self, Timestamp now) const;
    /** As leader @p self: true if another member is in contact and doesn't leave. */
    bool hasStayingMember(const Replica &replica, const std::string &self, Timestamp now) const;

    /** Performs the next step that is safe now; discards all requests if @p replica isn't the leader. */
    void advance(Replica &replica, Timestamp now);

private:
    /** @return true if nothing remains to be done until the replica requests admission again */
    bool admit(Replica &replica, const std::string &instance, const std::string &candidate, Timestamp now) const;
    /** The voter to remove first: an older replica of the same instance, or an unresponsive one if the group is full; empty if there is none. */
    std::string voterToReplace(const Replica &replica, const std::string &instance, const std::string &candidate, Timestamp now) const;

    /** Proposes @p next if a majority of its voters is responsive. */
    void proposeChange(Replica &replica, const wire::MembershipT &next, Step step, const std::string &subject, Timestamp now) const;
    /** Demotes one voter to learner if there are more than the maximum: one that leaves, an unresponsive one, or one of the largest data centre. */
    void demoteSurplus(Replica &replica, Timestamp now) const;
    /** Adds a learner as a voter in place of one that leaves, which is then demoted as surplus. */
    void replaceLeavingVoter(Replica &replica, Timestamp now) const;
    /** True if @p learner may become a voter as soon as it holds the whole log. */
    bool isSuccessor(const Replica &replica, const std::string &learner, Timestamp now) const;
    /** The learner that holds the whole log and leaves the voters spread best over data centres without @p leaving; empty if there is none. */
    std::string successorOf(const Replica &replica, const std::string &leaving, Timestamp now) const;
    std::map<std::string, std::vector<std::string>> votersByDataCentre(const Replica &replica) const;
    /** True if all voters respond and some data centre has so many more of them than that of @p instance that one should move there. */
    bool isUnderrepresented(const Replica &replica, const std::string &instance, Timestamp now) const;
    /** A voter of the data centre with the most voters; never the leader. */
    std::string voterInLargestDataCentre(const Replica &replica) const;
    /** True if the last answer of @p name is older than the voter timeout; false for one that was added and hasn't answered yet. */
    bool isSilent(const Replica &replica, const std::string &name, Timestamp now) const;
    /** Empty if all voters respond. */
    std::string unresponsiveVoter(const Replica &replica, Timestamp now) const;

    const Observer observer;
    const Limits limits;
    std::map<std::string, std::string> pendingRequests;
    /** When each leaving replica last announced its leave; entries older than the voter timeout have no effect. */
    std::map<std::string, Timestamp> leaveAnnouncements;
};

const char *nameOf(Admission::Step step);

} // namespace paddlepier::consensus

#endif
