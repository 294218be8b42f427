// Admission of replicas into a group by its leader.

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

/** A data centre with so many voters more than another has one too many; with one more they are as even as can be. */
constexpr std::size_t leastSurplus = 2;

void eraseName(std::vector<std::string> &names, const std::string &name)
{
    names.erase(std::remove(names.begin(), names.end(), name), names.end());
}

bool holdsName(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/** Another replica of the same instance, or an empty name. */
std::string olderReplica(const std::vector<std::string> &replicas, const std::string &instance, const std::string &newcomer)
{
    const auto isOlder = [&](const std::string &name) { return name != newcomer && instanceOf(name) == instance; };
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
        // Whoever asked then may have another replica by the time at which this one leads again.
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

bool Admission::admit(Replica &replica, const std::string &instance, const std::string &newcomer, Timestamp now) const
{
    wire::MembershipT next = replica.membership();
    if (holdsName(next.voters, newcomer)) {
        return true;
    }
    if (!holdsName(next.learners, newcomer)) {
        eraseName(next.learners, olderReplica(next.learners, instance, newcomer));
        next.learners.push_back(newcomer);
        this->proposeChange(replica, next, Step::Learns, newcomer, now);
        return false;
    }
    // A newcomer that counts for a majority before it holds the whole log durably would make the group wait for it.
    if (replica.matchOf(newcomer) < replica.commitIndex()) {
        return false;
    }
    const std::string gone = this->voterToReplace(replica, instance, newcomer, now);
    if (!gone.empty()) {
        eraseName(next.voters, gone);
        this->proposeChange(replica, next, Step::Removed, gone, now);
        return false;
    }
    if (next.voters.size() > this->limits.maxVoters || (next.voters.size() == this->limits.maxVoters && !this->isUnderrepresented(replica, instance, now))) {
        return true;
    }
    // Beyond the bound it votes before another voter is demoted: with one less, a disk that is lost meanwhile could end the group.
    eraseName(next.learners, newcomer);
    next.voters.push_back(newcomer);
    this->proposeChange(replica, next, Step::Votes, newcomer, now);
    return false;
}

void Admission::proposeChange(Replica &replica, const wire::MembershipT &next, Step step, const std::string &subject, Timestamp now) const
{
    // A change that no majority of its voters can agree on would leave the group without a leader for good where one of them is gone.
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
    const auto known = voters.find(own);
    const std::size_t ownVoters = known == voters.end() ? 0 : known->second.size();
    return std::any_of(voters.begin(), voters.end(), [ownVoters](const auto &entry) { return entry.second.size() >= ownVoters + leastSurplus; });
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
    const auto isSilent = [&](const std::string &voter) { return now - replica.lastReplyOf(voter, now) > this->limits.voterTimeout; };
    const auto found = std::find_if(voters.begin(), voters.end(), isSilent);
    return found == voters.end() ? "" : *found;
}

std::string Admission::voterToReplace(const Replica &replica, const std::string &instance, const std::string &newcomer, Timestamp now) const
{
    const std::vector<std::string> &voters = replica.membership().voters;
    std::string older = olderReplica(voters, instance, newcomer);
    return !older.empty() || voters.size() < this->limits.maxVoters ? older : this->unresponsiveVoter(replica, now);
}

} // namespace paddlepier::consensus
