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
    this->leaveAnnouncements.erase(replica);
}

void Admission::recordLeave(const std::string &replica, Timestamp now)
{
    std::erase_if(this->leaveAnnouncements, [this, now](const auto &entry) { return now - entry.second > this->limits.voterTimeout; });
    this->leaveAnnouncements[replica] = now;
}

bool Admission::isLeaving(const Replica &replica, const std::string &name, Timestamp now) const
{
    const auto found = this->leaveAnnouncements.find(name);
    if (found == this->leaveAnnouncements.end() || now - found->second > this->limits.voterTimeout) {
        return false;
    }
    const Timestamp lastReply = replica.lastReplyOf(name, now);
    const bool hasAnsweredThisLeader = !replica.isLeader() || lastReply > replica.leaderSince();
    return !hasAnsweredThisLeader || lastReply - found->second < leaveRenewalTimeout;
}

std::vector<std::string> Admission::leavingVoters(const Replica &replica, Timestamp now) const
{
    std::vector<std::string> leaving;
    for (const std::string &voter : replica.membership().voters) {
        if (this->isLeaving(replica, voter, now)) {
            leaving.push_back(voter);
        }
    }
    return leaving;
}

bool Admission::hasStayingVoterBeside(const Replica &replica, const std::string &self, Timestamp now) const
{
    const std::vector<std::string> &voters = replica.membership().voters;
    const auto stays = [&](const std::string &voter) { return voter != self && !this->isLeaving(replica, voter, now); };
    return containsName(voters, self) && std::any_of(voters.begin(), voters.end(), stays);
}

bool Admission::hasStayingMember(const Replica &replica, const std::string &self, Timestamp now) const
{
    const wire::MembershipT &members = replica.membership();
    const auto stays = [&](const std::string &name) { return name != self && replica.isInContactWith(name, now) && !this->isLeaving(replica, name, now); };
    return std::any_of(members.voters.begin(), members.voters.end(), stays) || std::any_of(members.learners.begin(), members.learners.end(), stays);
}

wire::LeaveStatus Admission::leaveStatusOf(const Replica &replica, const std::string &name, Timestamp now) const
{
    // A new leader may need the leaving replica to commit the entries of its predecessor.
    if (!replica.isCaughtUpLeader()) {
        return wire::LeaveStatus::NotLeader;
    }
    const wire::MembershipT &members = replica.membership();
    const auto mayReplace = [&](const std::string &learner) { return this->isSuccessor(replica, learner, now); };
    const bool hasSuccessor = containsName(members.voters, name) && std::any_of(members.learners.begin(), members.learners.end(), mayReplace);
    // A change that is still uncommitted may be lost with this leader.
    const bool isChanging = replica.hasPendingMembership() || members.voters.size() > this->limits.maxVoters;
    return hasSuccessor || isChanging ? wire::LeaveStatus::AwaitsSuccessor : wire::LeaveStatus::Settled;
}

void Admission::advance(Replica &replica, Timestamp now)
{
    if (!replica.isLeader()) {
        // An instance that requested admission may have a different replica by the time this one leads again.
        this->pendingRequests.clear();
        return;
    }
    this->demoteSurplus(replica, now);
    this->replaceLeavingVoter(replica, now);
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
    const std::vector<std::string> leaving = this->leavingVoters(replica, now);
    if (containsName(leaving, replica.leader())) {
        return; // It hands over, and the next leader demotes it.
    }
    wire::MembershipT next = replica.membership();
    std::string surplus = leaving.empty() ? this->unresponsiveVoter(replica, now) : leaving.front();
    surplus = surplus.empty() ? this->voterInLargestDataCentre(replica) : surplus;
    eraseName(next.voters, surplus);
    next.learners.push_back(surplus);
    this->proposeChange(replica, next, Step::Removed, surplus, now);
}

void Admission::replaceLeavingVoter(Replica &replica, Timestamp now) const
{
    wire::MembershipT next = replica.membership();
    if (next.voters.size() > this->limits.maxVoters || !replica.isCaughtUpLeader() || replica.hasPendingMembership()) {
        return;
    }
    const std::vector<std::string> leaving = this->leavingVoters(replica, now);
    const std::string successor = leaving.empty() ? "" : this->successorOf(replica, leaving.front(), now);
    if (!successor.empty()) {
        eraseName(next.learners, successor);
        next.voters.push_back(successor);
        this->proposeChange(replica, next, Step::Votes, successor, now);
    }
}

bool Admission::isSuccessor(const Replica &replica, const std::string &learner, Timestamp now) const
{
    // A new replica of an instance whose older one still votes replaces that one.
    const bool replacesOlder = !olderReplica(replica.membership().voters, instanceOf(learner), learner).empty();
    return !replacesOlder && replica.isInContactWith(learner, now) && !this->isLeaving(replica, learner, now);
}

std::string Admission::successorOf(const Replica &replica, const std::string &leaving, Timestamp now) const
{
    std::map<std::string, std::vector<std::string>> voters = this->votersByDataCentre(replica);
    eraseName(voters[this->limits.dataCentreOf(instanceOf(leaving))], leaving);
    std::string best;
    std::size_t fewest = std::numeric_limits<std::size_t>::max();
    for (const std::string &learner : replica.membership().learners) {
        const std::size_t neighbours = voters[this->limits.dataCentreOf(instanceOf(learner))].size();
        if (neighbours < fewest && replica.isCaughtUp(learner, now) && this->isSuccessor(replica, learner, now)) {
            best = learner;
            fewest = neighbours;
        }
    }
    return best;
}

bool Admission::admit(Replica &replica, const std::string &instance, const std::string &candidate, Timestamp now) const
{
    wire::MembershipT next = replica.membership();
    if (containsName(next.voters, candidate) || this->isLeaving(replica, candidate, now)) {
        return true;
    }
    if (!containsName(next.learners, candidate)) {
        eraseName(next.learners, olderReplica(next.learners, instance, candidate));
        // Voters that were replaced before they stopped stay as learners until then.
        std::erase_if(next.learners, [&](const std::string &learner) { return this->isSilent(replica, learner, now); });
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

bool Admission::isSilent(const Replica &replica, const std::string &name, Timestamp now) const
{
    const Timestamp lastReply = replica.lastReplyOf(name, now);
    return lastReply != absl::InfinitePast() && now - lastReply > this->limits.voterTimeout;
}

std::string Admission::unresponsiveVoter(const Replica &replica, Timestamp now) const
{
    const std::vector<std::string> &voters = replica.membership().voters;
    const auto found = std::find_if(voters.begin(), voters.end(), [&](const std::string &voter) { return this->isSilent(replica, voter, now); });
    return found == voters.end() ? "" : *found;
}

std::string Admission::voterToReplace(const Replica &replica, const std::string &instance, const std::string &candidate, Timestamp now) const
{
    const std::vector<std::string> &voters = replica.membership().voters;
    std::string older = olderReplica(voters, instance, candidate);
    return !older.empty() || voters.size() < this->limits.maxVoters ? older : this->unresponsiveVoter(replica, now);
}

} // namespace paddlepier::consensus
