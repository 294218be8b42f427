// Replica: construction, elections, terms and membership. Replication is in replication.cpp and snapshottransfer.cpp.

#include "paddlepier/consensus/replica.h"

#include "paddlepier/wire/codec.h"

#include <algorithm>
#include <array>

namespace paddlepier::consensus
{

namespace
{

/** An election takes two syncs and a round trip more than a pre-vote, which is several pre-vote intervals. */
constexpr int preVoteIntervalsPerElection = 5;

/** Writes that an election waits for one after the other: at the candidate, and at a voter. */
constexpr int writesPerElection = 2;

/** Decay of the longest write time with each write. */
constexpr double writeTimeDecay = 0.9;

/** A healthy replica answers every heartbeat; the network may lose all but one of this many in a row. */
constexpr int replyWindowHeartbeats = 3;

} // namespace

const char *nameOf(ReplicaRole role)
{
    static constexpr std::array<const char *, 4> names{"Follower", "PreCandidate", "Candidate", "Leader"};
    return names[static_cast<std::size_t>(role)];
}

const char *nameOf(ElectionStep step)
{
    static constexpr std::array<const char *, 6> names{"started", "granted", "refused", "received", "denied", "stepped-down"};
    return names.at(static_cast<std::size_t>(step));
}

const char *nameOf(ElectionReason reason)
{
    static constexpr std::array<const char *, 10> names{
        "none", "hears-leader", "awaits-election", "log-behind", "term-behind", "voted-for-other", "hand-over", "after-restart", "no-quorum", "later-term"};
    return names.at(static_cast<std::size_t>(reason));
}

Replica::Replica(ReplicaSettings replicaSettings, storage::RecoveredState recovered, Timestamp now, std::uint64_t seed)
    : settings(std::move(replicaSettings))
    , random(seed)
    , hardState(std::move(recovered.hardState))
    , snapshot(std::move(recovered.snapshot))
    , lastHeardLeader(now) // Just before a restart a voter may have promised not to vote against its leader.
    , leaderTimeout(this->settings.electionTimeout)
    , startedAt(now)
    , termAtStart(this->hardState.term)
{
    if (this->snapshot) {
        this->baseIndex = this->snapshot->index;
        this->baseTerm = this->snapshot->term;
        this->committedIndex = this->baseIndex;
    }
    for (wire::LogRecordT &entry : recovered.entries) {
        if (entry.index <= this->baseIndex) {
            continue;
        }
        if (entry.index != this->lastIndex() + 1) {
            break; // The rest belongs to a log that an installed snapshot has replaced.
        }
        this->entries.push_back(std::move(entry));
    }
    this->durableIndex = this->lastIndex();
    this->recomputeMembership();
    this->resetElectionTimer(now);
}

void Replica::bootstrapGroup(Timestamp now)
{
    wire::MembershipT first;
    first.voters.push_back(this->settings.self);
    this->hardState.term = 1;
    this->saveHardState();
    this->appendAsLeader(wire::EntryKind::Membership, wire::pack(first));
    this->startElection(now, Election::Vote);
}

void Replica::recomputeMembership()
{
    this->members = this->snapshot && this->snapshot->membership ? *this->snapshot->membership : wire::MembershipT();
    this->membershipIndex = this->snapshot ? this->snapshot->index : 0;
    for (const wire::LogRecordT &entry : this->entries) {
        if (entry.kind == wire::EntryKind::Membership) {
            this->members = wire::unpack<wire::MembershipT>(entry.data);
            this->membershipIndex = entry.index;
        }
    }
}

void Replica::saveHardState()
{
    this->effects.hardState = this->hardState;
}

bool Replica::isFreshlyStarted(Timestamp now) const
{
    return !this->heardLeader && this->role != ReplicaRole::Leader && now - this->startedAt < 2 * this->settings.electionTimeout;
}

bool Replica::hasUnanimousRestart() const
{
    const std::size_t needed = this->settings.guards.unanimousRestart ? this->members.voters.size() : this->quorum();
    return !this->heardLeader && this->votersWithoutLeader.size() >= needed;
}

void Replica::resetElectionTimer(Timestamp now)
{
    std::uniform_real_distribution<double> spread(1.0, 2.0);
    Duration shortest = this->leaderTimeout.current();
    if (this->isFreshlyStarted(now) && this->settings.guards.preVote) {
        // A replica that has just voted, for itself or another, waits until that election has ended.
        const bool hasVoted = this->hardState.term > this->termAtStart;
        shortest = this->settings.restartPreVoteInterval * (hasVoted ? preVoteIntervalsPerElection : 1);
    }
    this->electionDeadline = now + shortest * spread(this->random);
}

void Replica::awaitElection(Timestamp now)
{
    this->resetElectionTimer(now);
    std::uniform_real_distribution<double> spread(1.0, 2.0);
    const Duration writes = writesPerElection * this->longestWrite;
    if (now + writes > this->electionDeadline) {
        this->electionDeadline = now + writes * spread(this->random);
        this->votedUntil = this->electionDeadline;
    }
}

void Replica::recordWriteTime(Duration time)
{
    this->longestWrite = std::max(time, this->longestWrite * writeTimeDecay);
}

void Replica::recordElectionEvent(Timestamp now, ElectionStep step, bool isPreVote, Term term, const std::string &peer, ElectionReason reason)
{
    this->effects.electionEvents.push_back({step, isPreVote, term, peer, reason, now - this->lastHeardLeader});
}

void Replica::becomeFollower(Term newTerm, const std::string &newLeader)
{
    if (newTerm > this->hardState.term) {
        this->hardState.term = newTerm;
        this->hardState.votedFor.clear();
        this->saveHardState();
    }
    this->role = ReplicaRole::Follower;
    this->leaderName = newLeader;
    this->heardSentAtMicros = 0;
    this->confirmedSentAtMicros = 0;
    this->progresses.clear();
    this->votes.clear();
}

template<typename Body>
void Replica::sendPreVote(Timestamp now, const std::string &to, const Body &body)
{
    // Replicas that restart together ask within milliseconds of each other. There, pre-votes keep their order behind the votes, which are synced:
    // otherwise several replicas become candidates before they learn of each other's votes.
    this->isFreshlyStarted(now) ? this->sendAfterSync(to, body) : this->sendNow(to, body);
}

void Replica::startElection(Timestamp now, Election election)
{
    const bool preVote = election == Election::PreVote;
    if (!this->isVoter(this->settings.self)) {
        this->resetElectionTimer(now);
        return;
    }
    this->leaderName.clear();
    this->votes.clear();
    this->votes[this->settings.self] = true;
    this->votersWithoutLeader = {this->settings.self};
    this->role = preVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    if (!preVote) {
        ++this->hardState.term;
        this->hardState.votedFor = this->settings.self;
        this->saveHardState();
    }
    preVote ? this->resetElectionTimer(now) : this->awaitElection(now);
    wire::VoteRequestT request;
    request.term = preVote ? this->hardState.term + 1 : this->hardState.term;
    request.lastIndex = this->lastIndex();
    request.lastTerm = *this->termAt(this->lastIndex());
    request.preVote = preVote;
    const ElectionReason cause = election == Election::AfterHandOver  ? ElectionReason::HandOver
                                 : election == Election::AfterRestart ? ElectionReason::AfterRestart
                                                                      : ElectionReason::None;
    this->recordElectionEvent(now, ElectionStep::Started, preVote, request.term, "", cause);
    request.handOver = election == Election::AfterHandOver;
    request.afterRestart = election == Election::AfterRestart;
    for (const std::string &voter : this->members.voters) {
        if (voter != this->settings.self) {
            preVote ? this->sendPreVote(now, voter, request) : this->sendAfterSync(voter, request);
        }
    }
    if (this->quorum() > 1) {
        return;
    }
    if (preVote) {
        this->startElection(now, Election::Vote);
    } else {
        this->becomeLeader(now);
    }
}

void Replica::becomeLeader(Timestamp now)
{
    this->role = ReplicaRole::Leader;
    this->heardLeader = true;
    this->leaderName = this->settings.self;
    this->leadingSince = now;
    this->commitProgressAt = now;
    this->progresses.clear();
    for (const std::string &member : this->otherMembers()) {
        Progress &progress = this->progresses[member];
        progress.next = this->lastIndex() + 1;
        progress.lastReply = now;
        progress.lastHeard = now;
    }
    // By committing an entry of its own term the leader also commits the entries of earlier leaders.
    this->appendAsLeader(wire::EntryKind::Empty, "");
    this->termStartIndex = this->lastIndex();
    this->broadcast(now, true);
}

bool Replica::stepDownWithoutQuorum(Timestamp now)
{
    std::size_t responsive = 1;
    for (const auto &[member, progress] : this->progresses) {
        responsive += this->isVoter(member) && this->isInContactWith(member, now) ? 1 : 0;
    }
    if (responsive >= this->quorum()) {
        return false;
    }
    this->recordElectionEvent(now, ElectionStep::SteppedDown, false, this->hardState.term, "", ElectionReason::NoQuorum);
    this->becomeFollower(this->hardState.term, "");
    this->resetElectionTimer(now);
    return true;
}

void Replica::tick(Timestamp now)
{
    if (this->role == ReplicaRole::Leader) {
        if (!this->stepDownWithoutQuorum(now) && now - this->lastBroadcast >= this->settings.heartbeatInterval) {
            this->broadcast(now, true);
        }
        return;
    }
    if (now >= this->electionDeadline) {
        this->startElection(now, this->settings.guards.preVote ? Election::PreVote : Election::Vote);
    }
}

void Replica::receive(Timestamp now, const std::string &from, wire::PeerBodyUnion body)
{
    if (const auto *request = body.AsVoteRequest()) {
        this->onVoteRequest(now, from, *request);
    } else if (const auto *reply = body.AsVoteReply()) {
        this->onVoteReply(now, from, *reply);
    } else if (auto *append = body.AsAppendRequest()) {
        this->onAppendRequest(now, from, *append);
    } else if (const auto *appendReply = body.AsAppendReply()) {
        this->onAppendReply(now, from, *appendReply);
    } else if (const auto *chunk = body.AsSnapshotChunk()) {
        this->onSnapshotChunk(now, from, *chunk);
    } else if (const auto *snapshotReply = body.AsSnapshotReply()) {
        this->onSnapshotReply(now, from, *snapshotReply);
    }
}

ElectionReason Replica::voteRefusal(Timestamp now, const wire::VoteRequestT &request) const
{
    const bool hearsLeader = this->role == ReplicaRole::Leader || now - this->lastHeardLeader < this->settings.electionTimeout;
    const bool needNotWait = request.handOver || (request.afterRestart && !this->heardLeader);
    if (this->settings.guards.stickyVotes && hearsLeader && !needNotWait) {
        return ElectionReason::HearsLeader;
    }
    return this->logRefusal(request);
}

ElectionReason Replica::logRefusal(const wire::VoteRequestT &request) const
{
    const Term lastTerm = *this->termAt(this->lastIndex());
    const bool hasAllEntries = request.lastTerm > lastTerm || (request.lastTerm == lastTerm && request.lastIndex >= this->lastIndex());
    if (!hasAllEntries) {
        return ElectionReason::LogBehind;
    }
    return request.term >= this->hardState.term ? ElectionReason::None : ElectionReason::TermBehind;
}

void Replica::onVoteRequest(Timestamp now, const std::string &from, const wire::VoteRequestT &request)
{
    ElectionReason refusal = this->voteRefusal(now, request);
    const bool mayGrant = refusal == ElectionReason::None;
    wire::VoteReplyT reply;
    reply.preVote = request.preVote;
    if (request.preVote) {
        reply.granted = mayGrant && request.term > this->hardState.term && now >= this->votedUntil;
        reply.term = reply.granted ? request.term : this->hardState.term;
        reply.knowsNoLeader = !this->heardLeader && this->role != ReplicaRole::Leader && this->logRefusal(request) == ElectionReason::None;
        refusal = !mayGrant || reply.granted ? refusal : now < this->votedUntil ? ElectionReason::AwaitsElection : ElectionReason::TermBehind;
        this->recordElectionEvent(now, reply.granted ? ElectionStep::Granted : ElectionStep::Refused, true, request.term, from, refusal);
        this->sendPreVote(now, from, reply);
        return;
    }
    // A refused candidate must not raise the term here, or a replica that was cut off for a long time would depose a healthy leader.
    if (request.term > this->hardState.term && mayGrant) {
        this->becomeFollower(request.term, "");
    }
    const bool isFree = this->hardState.votedFor.empty() || this->hardState.votedFor == from;
    reply.granted = mayGrant && request.term == this->hardState.term && isFree && this->role != ReplicaRole::Leader;
    reply.term = this->hardState.term;
    if (reply.granted) {
        this->hardState.votedFor = from;
        this->saveHardState();
        this->awaitElection(now);
    } else if (mayGrant) {
        refusal = isFree ? ElectionReason::HearsLeader : ElectionReason::VotedForOther;
    }
    this->recordElectionEvent(now, reply.granted ? ElectionStep::Granted : ElectionStep::Refused, false, request.term, from, refusal);
    reply.granted ? this->sendAfterSync(from, reply) : this->sendNow(from, reply);
}

void Replica::onVoteReply(Timestamp now, const std::string &from, const wire::VoteReplyT &reply)
{
    this->recordElectionEvent(now, reply.granted ? ElectionStep::Received : ElectionStep::Denied, reply.preVote, reply.term, from, ElectionReason::None);
    if (this->role == ReplicaRole::PreCandidate && reply.preVote && reply.knowsNoLeader && this->isVoter(from)) {
        this->votersWithoutLeader.insert(from);
        if (this->hasUnanimousRestart()) {
            this->startElection(now, Election::AfterRestart);
            return;
        }
    }
    if (!reply.granted) {
        if (reply.term > this->hardState.term) {
            this->becomeFollower(reply.term, "");
        }
        return;
    }
    const bool isPreVote = this->role == ReplicaRole::PreCandidate && reply.preVote && reply.term == this->hardState.term + 1;
    const bool isVote = this->role == ReplicaRole::Candidate && !reply.preVote && reply.term == this->hardState.term;
    if (!(isPreVote || isVote) || !this->isVoter(from)) {
        return;
    }
    this->votes[from] = true;
    if (this->votes.size() < this->quorum()) {
        return;
    }
    if (isPreVote) {
        this->startElection(now, Election::Vote);
    } else {
        this->becomeLeader(now);
    }
}

bool Replica::proposeMembership(const wire::MembershipT &next)
{
    if (!this->isCaughtUpLeader() || this->hasPendingMembership()) {
        return false;
    }
    this->appendAsLeader(wire::EntryKind::Membership, wire::pack(next));
    for (const std::string &member : this->otherMembers()) {
        if (!this->progresses.contains(member)) {
            this->progresses[member].next = this->lastIndex() + 1;
        }
    }
    return true;
}

bool Replica::transferLeadership(Timestamp now, const std::vector<std::string> &excluded)
{
    if (this->role != ReplicaRole::Leader) {
        return false;
    }
    // Iterates in the order of the membership, so that the choice doesn't depend on the order of a hash table.
    const std::string *best = nullptr;
    for (const std::string &voter : this->members.voters) {
        const auto found = this->progresses.find(voter);
        const bool isAlive = found != this->progresses.end() && now - found->second.lastReply < this->settings.electionTimeout;
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), voter) != excluded.end();
        if (isAlive && !isExcluded && (best == nullptr || found->second.match > this->progresses.at(*best).match)) {
            best = &voter;
        }
    }
    if (best == nullptr) {
        return false;
    }
    wire::AppendRequestT request;
    request.term = this->hardState.term;
    request.previousIndex = this->progresses[*best].match;
    request.previousTerm = this->termAt(request.previousIndex).value_or(0);
    request.commit = std::min(this->committedIndex, request.previousIndex);
    request.handOver = true;
    // A target without the newest entries would get no vote of this replica, which it may need while another voter is down.
    if (request.previousIndex >= this->baseIndex) {
        this->addEntries(request, this->settings.handOverBytes);
    }
    this->sendNow(*best, std::move(request));
    this->becomeFollower(this->hardState.term, "");
    this->resetElectionTimer(now);
    return true;
}

Effects Replica::drainEffects()
{
    Effects drained;
    std::swap(drained, this->effects);
    return drained;
}

bool Replica::isLeader() const
{
    return this->role == ReplicaRole::Leader;
}

bool Replica::hasLeaderLease(Timestamp now) const
{
    return now < this->leaderLeaseEnd();
}

Timestamp Replica::leaderLeaseEnd() const
{
    if (this->role != ReplicaRole::Leader) {
        return absl::InfinitePast();
    }
    std::vector<Timestamp> confirmed;
    for (const std::string &voter : this->members.voters) {
        const auto found = this->progresses.find(voter);
        const Timestamp own = voter == this->settings.self ? absl::InfiniteFuture() : absl::InfinitePast();
        confirmed.push_back(found == this->progresses.end() ? own : found->second.lastAckSentAt);
    }
    std::sort(confirmed.begin(), confirmed.end(), std::greater<>());
    const Duration usable = this->settings.electionTimeout * (1.0 - 2.0 * this->settings.driftPerMille / 1000.0);
    return confirmed[this->quorum() - 1] + usable;
}

void Replica::confirmLeader()
{
    if (this->role != ReplicaRole::Follower || this->leaderName.empty() || this->heardSentAtMicros <= this->confirmedSentAtMicros) {
        return;
    }
    this->confirmedSentAtMicros = this->heardSentAtMicros;
    wire::AppendReplyT receipt;
    receipt.term = this->hardState.term;
    receipt.sentAtMicros = this->heardSentAtMicros;
    receipt.isReceipt = true;
    this->sendNow(this->leaderName, receipt);
}

bool Replica::isInContactWithMajorityOf(const std::vector<std::string> &voters, Timestamp now) const
{
    const auto isResponsive = [this, now](const std::string &voter) {
        const auto progress = this->progresses.find(voter);
        const bool hasAnswered =
            progress != this->progresses.end() && now - progress->second.lastReply <= replyWindowHeartbeats * this->settings.heartbeatInterval;
        return voter == this->settings.self || hasAnswered;
    };
    return static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), isResponsive)) >= voters.size() / 2 + 1;
}

bool Replica::isInContactWith(const std::string &member, Timestamp now) const
{
    const auto found = this->progresses.find(member);
    return found != this->progresses.end() && now - found->second.lastHeard < 2 * this->settings.electionTimeout;
}

bool Replica::isCaughtUpLeader() const
{
    return this->role == ReplicaRole::Leader && this->committedIndex >= this->termStartIndex;
}

Duration Replica::commitStall(Timestamp now) const
{
    const bool isWaiting = this->role == ReplicaRole::Leader && this->committedIndex < this->lastIndex() && this->committedIndex == this->observedCommit;
    return isWaiting ? now - this->commitProgressAt : absl::ZeroDuration();
}

Timestamp Replica::leaderSince() const
{
    return this->leadingSince;
}

const std::string &Replica::leader() const
{
    return this->leaderName;
}

Term Replica::currentTerm() const
{
    return this->hardState.term;
}

bool Replica::isMember() const
{
    return !this->members.voters.empty();
}

const wire::MembershipT &Replica::membership() const
{
    return this->members;
}

bool Replica::hasPendingMembership() const
{
    return this->membershipIndex > this->committedIndex;
}

bool Replica::isVoter(const std::string &replica) const
{
    return std::find(this->members.voters.begin(), this->members.voters.end(), replica) != this->members.voters.end();
}

std::size_t Replica::quorum() const
{
    return this->members.voters.size() / 2 + 1;
}

std::vector<std::string> Replica::otherMembers() const
{
    std::vector<std::string> others;
    for (const auto *list : {&this->members.voters, &this->members.learners}) {
        std::copy_if(list->begin(), list->end(), std::back_inserter(others), [this](const std::string &name) { return name != this->settings.self; });
    }
    return others;
}

} // namespace paddlepier::consensus
