// Admission of replicas to a group by its leader.

#include "paddlepier/consensus/admission.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>
#include <vector>

namespace paddlepier::consensus
{

namespace
{

/** A data centre with this many voters more than another has one too many; a difference of one is as even as possible. */
constexpr std::size_t surplusThreshold = 2;

void eraseName(std::vector<std::string> &names, const std::string &name)
{
    names.erase(std::remove(names.begin(), names.end(), name), names.end());
}

bool containsName(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/** Returns another replica of the same instance, or an empty name. */
std::string olderReplica(const std::vector<std::string> &replicas, const std::string &instance, const std::string &candidate)
{
    const auto isOlder = [&](const std::string &name) { return name != candidate && instanceOf(name) == instance; };
    const auto found = std::find_if(replicas.begin(), replicas.end(), isOlder);
    return found == replicas.end() ? "" : *found;
}

} // namespace

std::string instanceOf(const std::string &replica)
{
    return replica.substr(0, replica.find('/'));
}

const char *nameOf(Admission::Step step)
{
    static constexpr std::array<const char *, 3> names{"replica.learns", "replica.removed", "replica.votes"};
    return names[static_cast<std::size_t>(step)];
}

Admission::Admission(Observer stepObserver)
    : Admission(std::move(stepObserver), Limits{})
{
}

Admission::Admission(Observer stepObserver, Limits admissionLimits)
    : observer(std::move(stepObserver))
    , limits(std::move(admissionLimits))
{
}

void Admission::request(const std::string &instance, const std::string &replica)
{
    this->pendingRequests[instance] = replica;
}

void Admission::advance(Replica &replica, Timestamp now)
{
    if (!replica.isLeader()) {
        // An instance that requested admission may have a different replica by the time this one leads again.
        this->pendingRequests.clear();
        return;
    }
    this->demoteSurplus(replica, now);
    for (auto entry = this->pendingRequests.begin(); entry != this->pendingRequests.end();) {
        if (!replica.isCaughtUpLeader() || replica.hasPendingMembership()) {
            return;
        }
        entry = this->admit(replica, entry->first, entry->second, now) ? this->pendingRequests.erase(entry) : std::next(entry);
    }
}

void Admission::demoteSurplus(Replica &replica, Timestamp now) const
{
    const bool hasSurplus = replica.membership().voters.size() > this->limits.maxVoters;
    if (!hasSurplus || !replica.isCaughtUpLeader() || replica.hasPendingMembership()) {
        return;
    }
    wire::MembershipT next = replica.membership();
    std::string surplus = this->unresponsiveVoter(replica, now);
    surplus = surplus.empty() ? this->voterInLargestDataCentre(replica) : surplus;
    eraseName(next.voters, surplus);
    next.learners.push_back(surplus);
    this->proposeChange(replica, next, Step::Removed, surplus, now);
}

bool Admission::admit(Replica &replica, const std::string &instance, const std::string &candidate, Timestamp now) const
{
    wire::MembershipT next = replica.membership();
    if (containsName(next.voters, candidate)) {
        return true;
    }
    if (!containsName(next.learners, candidate)) {
        eraseName(next.learners, olderReplica(next.learners, instance, candidate));
        next.learners.push_back(candidate);
        this->proposeChange(replica, next, Step::Learns, candidate, now);
        return false;
    }
    // A replica that votes long before it holds the whole log durably would make the group wait for it. What is on its way needn't be awaited, or
    // under load a replica never votes: the change commits only once a majority of the new voters holds everything before it.
    if (!replica.isCaughtUp(candidate, now)) {
        return false;
    }
    const std::string replaced = this->voterToReplace(replica, instance, candidate, now);
    if (!replaced.empty()) {
        eraseName(next.voters, replaced);
        this->proposeChange(replica, next, Step::Removed, replaced, now);
        return false;
    }
    if (next.voters.size() > this->limits.maxVoters || (next.voters.size() == this->limits.maxVoters && !this->isUnderrepresented(replica, instance, now))) {
        return true;
    }
    // Above the maximum, the new voter is added before another one is demoted: with one voter less, the loss of a disk in between could
    // lose the majority for good.
    eraseName(next.learners, candidate);
    next.voters.push_back(candidate);
    this->proposeChange(replica, next, Step::Votes, candidate, now);
    return false;
}

void Admission::proposeChange(Replica &replica, const wire::MembershipT &next, Step step, const std::string &subject, Timestamp now) const
{
    // If a majority of its voters can't agree on the change, and one of them is gone, the group would stay without a leader for good.
    if (replica.isInContactWithMajorityOf(next.voters, now) && replica.proposeMembership(next)) {
        this->observer(step, subject);
    }
}

std::map<std::string, std::vector<std::string>> Admission::votersByDataCentre(const Replica &replica) const
{
    std::map<std::string, std::vector<std::string>> voters;
    for (const std::string &voter : replica.membership().voters) {
        voters[this->limits.dataCentreOf(instanceOf(voter))].push_back(voter);
    }
    return voters;
}

bool Admission::isUnderrepresented(const Replica &replica, const std::string &instance, Timestamp now) const
{
    const std::string own = this->limits.dataCentreOf(instance);
    const std::map<std::string, std::vector<std::string>> voters = this->votersByDataCentre(replica);
    if (own.empty() || voters.contains("") || !this->unresponsiveVoter(replica, now).empty()) {
        return false;
    }
    const auto ownEntry = voters.find(own);
    const std::size_t ownVoters = ownEntry == voters.end() ? 0 : ownEntry->second.size();
    return std::any_of(voters.begin(), voters.end(), [ownVoters](const auto &entry) { return entry.second.size() >= ownVoters + surplusThreshold; });
}

std::string Admission::voterInLargestDataCentre(const Replica &replica) const
{
    std::string found;
    std::size_t most = 0;
    for (const auto &[dataCentre, voters] : this->votersByDataCentre(replica)) {
        const auto other = std::find_if(voters.begin(), voters.end(), [&replica](const std::string &voter) { return voter != replica.leader(); });
        if (other != voters.end() && voters.size() > most) {
            found = *other;
            most = voters.size();
        }
    }
    return found;
}

std::string Admission::unresponsiveVoter(const Replica &replica, Timestamp now) const
{
    const std::vector<std::string> &voters = replica.membership().voters;
    const auto isUnresponsive = [&](const std::string &voter) { return now - replica.lastReplyOf(voter, now) > this->limits.voterTimeout; };
    const auto found = std::find_if(voters.begin(), voters.end(), isUnresponsive);
    return found == voters.end() ? "" : *found;
}

std::string Admission::voterToReplace(const Replica &replica, const std::string &instance, const std::string &candidate, Timestamp now) const
{
    const std::vector<std::string> &voters = replica.membership().voters;
    std::string older = olderReplica(voters, instance, candidate);
    return !older.empty() || voters.size() < this->limits.maxVoters ? older : this->unresponsiveVoter(replica, now);
}

} // namespace paddlepier::consensus
