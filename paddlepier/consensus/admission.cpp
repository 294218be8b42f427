// Admission of replicas into a group by its leader.

#include "paddlepier/consensus/admission.h"

#include <algorithm>
#include <array>

namespace paddlepier::consensus
{

namespace
{

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
    : observer(std::move(stepObserver))
{
}

void Admission::request(const std::string &instance, const std::string &replica)
{
    this->waiting[instance] = replica;
}

void Admission::advance(Replica &replica)
{
    for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
        if (!replica.isCaughtUpLeader() || replica.hasPendingMembership()) {
            return;
        }
        entry = this->admit(replica, entry->first, entry->second) ? this->waiting.erase(entry) : std::next(entry);
    }
}

bool Admission::admit(Replica &replica, const std::string &instance, const std::string &newcomer) const
{
    wire::MembershipT next = replica.membership();
    if (holdsName(next.voters, newcomer)) {
        return true;
    }
    if (!holdsName(next.learners, newcomer)) {
        eraseName(next.learners, olderReplica(next.learners, instance, newcomer));
        next.learners.push_back(newcomer);
        this->observer(Step::Learns, newcomer);
        replica.proposeMembership(next);
        return false;
    }
    // A newcomer that counts for a majority before it holds the whole log durably would make the group wait for it.
    if (replica.matchOf(newcomer) < replica.commitIndex()) {
        return false;
    }
    const std::string older = olderReplica(next.voters, instance, newcomer);
    if (!older.empty()) {
        eraseName(next.voters, older);
        this->observer(Step::Removed, older);
        replica.proposeMembership(next);
        return false;
    }
    eraseName(next.learners, newcomer);
    next.voters.push_back(newcomer);
    this->observer(Step::Votes, newcomer);
    replica.proposeMembership(next);
    return false;
}

} // namespace paddlepier::consensus
