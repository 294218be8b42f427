// Admission of replicas into a group by its leader.
//
// A replica asks to be admitted under its own identity and its instance's name. It becomes a learner first; when it holds
// the whole committed log durably, an older replica of the same instance is removed, and then the newcomer votes. One
// replica changes at a time, so that any two majorities that follow each other overlap.
//
// Example:
//     admission.request("atlanta-1-a", "atlanta-1-a/9f...");
//     admission.advance(replica);              // as leader, from time to time
//
// Thread safety: none; owned by the control thread. advance() is O(replicas).

#ifndef PADDLEPIER_CONSENSUS_ADMISSION_H
#define PADDLEPIER_CONSENSUS_ADMISSION_H

#include "paddlepier/consensus/replica.h"

#include <functional>
#include <map>
#include <string>

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

    explicit Admission(Observer stepObserver);

    void request(const std::string &instance, const std::string &replica);

    /** Takes the next step that is safe now; does nothing unless @p replica leads. */
    void advance(Replica &replica);

private:
    /** @return true if the newcomer votes already */
    bool admit(Replica &replica, const std::string &instance, const std::string &newcomer) const;

    const Observer observer;
    std::map<std::string, std::string> waiting;
};

const char *nameOf(Admission::Step step);

} // namespace paddlepier::consensus

#endif
