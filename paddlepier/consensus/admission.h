// Admission of replicas into a group by its leader.
//
// A replica asks to be admitted under its own identity and its instance's name. It becomes a learner first; when it holds
// the whole committed log durably, an older replica of the same instance is removed, and then the newcomer votes. One
// replica changes at a time, so that any two majorities that follow each other overlap. Where the number of voters is
// bounded, a newcomer beyond it stays a learner until a voter has been silent for long, and then takes its place. It takes the place of
// a voter that is well where that one's data centre holds two voters more than its own: of many instances that ask at the same time
// those of one data centre may come first, and with it a majority would be lost. Then it votes before the other one is demoted, so that
// the group never has fewer voters that are well than before.
//
// Example:
//     admission.request("atlanta-1-a", "atlanta-1-a/9f...");
//     admission.advance(replica, now);         // as leader, from time to time
//
// Thread safety: none; owned by the control thread. advance() is O(replicas).

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

/** Instance part of a replica's identity. */
std::string instanceOf(const std::string &replica);

class Admission
{
public:
    /** What a step did, for the log. */
    enum class Step { Learns, Removed, Votes };
    using Observer = std::function<void(Step step, const std::string &replica)>;

    /** How many voters there may be, and when one counts as gone. */
    struct Limits {
        std::size_t maxVoters = std::numeric_limits<std::size_t>::max();
        Duration voterTimeout = absl::InfiniteDuration();
        /** Where an instance is; empty while it isn't known. */
        std::function<std::string(const std::string &instance)> dataCentreOf = [](const std::string &) { return std::string(); };
    };

    explicit Admission(Observer stepObserver);
    Admission(Observer stepObserver, Limits admissionLimits);

    void request(const std::string &instance, const std::string &replica);

    /** Takes the next step that is safe now; forgets who asked unless @p replica leads. */
    void advance(Replica &replica, Timestamp now);

private:
    /** @return true if there is nothing to be done until the newcomer asks again */
    bool admit(Replica &replica, const std::string &instance, const std::string &newcomer, Timestamp now) const;
    /** A voter that is over: an older replica of the same instance, or one that has been silent; empty if there is none. */
    std::string voterToReplace(const Replica &replica, const std::string &instance, const std::string &newcomer, Timestamp now) const;

    /** Proposes @p next if a majority of its voters answers. */
    void proposeChange(Replica &replica, const wire::MembershipT &next, Step step, const std::string &subject, Timestamp now) const;
    /** While there are more voters than there may be, one of them goes on as a learner. */
    void demoteSurplus(Replica &replica, Timestamp now) const;
    std::map<std::string, std::vector<std::string>> votersByDataCentre(const Replica &replica) const;
    /** All voters answer, and a data centre has so many more of them than that of @p instance that one had better stand there. */
    bool isUnderrepresented(const Replica &replica, const std::string &instance, Timestamp now) const;
    /** A voter in the data centre that has most; never the leader. */
    std::string voterInLargestDataCentre(const Replica &replica) const;
    /** Empty if all answer. */
    std::string unresponsiveVoter(const Replica &replica, Timestamp now) const;

    const Observer observer;
    const Limits limits;
    std::map<std::string, std::string> pendingRequests;
};

const char *nameOf(Admission::Step step);

} // namespace paddlepier::consensus

#endif
