// One replica of a replicated log, free of I/O.
//
// The replica agrees with its peers on one order of entries (leader election with pre-vote and check-quorum, log
// replication, snapshots, learners, membership changes by one replica at a time, leadership transfer). It reads no
// clock, socket or file: the owner passes in time, messages and completions of disk writes, drains the Effects and
// executes them.
//
// Guarantees, as long as the owner keeps the order stated at Effects:
//  - committed entries are never lost or reordered while a majority of the voters keeps its disk;
//  - at most one leader per term; hasLeaderLease() is true on at most one replica at a time, if clocks run at the same
//    rate within the drift bound.
//
// A voter may have promised before a restart not to vote against its leader, and keeps that promise for an election
// timeout. After a restart of the whole group that wait would be wasted: if every voter reports that it knows no
// leader, no leader can hold a lease any more, and the group elects one at once.
//
// Example:
//     Replica replica(settings, recovered, now, seed);
//     replica.receive(now, from, message);
//     const Effects effects = replica.drainEffects();
//     // send effects.immediate; write effects to disk, then send effects.afterSync and call replica.persisted(...)
//
// Thread safety: none; owned by the control thread.

#ifndef PADDLEPIER_CONSENSUS_REPLICA_H
#define PADDLEPIER_CONSENSUS_REPLICA_H

#include "paddlepier/base/clock.h"
#include "paddlepier/consensus/appendwindow.h"
#include "paddlepier/consensus/leadertimeout.h"
#include "paddlepier/storage/replicastore.h"
#include "paddlepier/wire/peer_generated.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace paddlepier::consensus
{

using Index = std::uint64_t;
using Term = std::uint64_t;

enum class ReplicaRole { Follower, PreCandidate, Candidate, Leader };
const char *nameOf(ReplicaRole role);

/** Safety checks that only tests disable, to show that the resulting fault is detected. */
struct ReplicaGuards {
    bool preVote = true;
    /** A voter refuses votes while it receives a leader's messages; the leader lease depends on it. */
    bool stickyVotes = true;
    /** Only synced entries are acknowledged. */
    bool syncBeforeAcknowledge = true;
    /** An election right after a restart requires every voter, not just a majority, to report that it knows no leader. */
    bool unanimousRestart = true;
};

struct ReplicaSettings {
    /** This replica's identity. */
    std::string self;
    Duration heartbeatInterval = absl::Milliseconds(100);
    /**
     * Minimum time without a leader's message after which a follower starts an election, while the messages come in time; the maximum is
     * twice that.
     */
    Duration electionTimeout = absl::Milliseconds(500);
    /**
     * Minimum interval of pre-votes of a replica that has had no contact with a leader since its start; the maximum is twice that. It
     * should be a few round trips.
     */
    Duration restartPreVoteInterval = absl::Milliseconds(30);
    std::uint32_t driftPerMille = 10;
    std::size_t appendBytes = std::size_t{256} * 1024;
    /** Approximate limit of the entries in the message by which a leader hands over. */
    std::size_t handOverBytes = std::size_t{1024} * 1024;
    std::size_t chunkBytes = std::size_t{256} * 1024;
    /** Maximum number of unanswered append messages per follower. */
    std::size_t pipelineDepth = 16;
    ReplicaGuards guards;
};

enum class ElectionStep {
    /** This replica asks for votes. */
    Started,
    /** This replica, as a voter, has answered a candidate. */
    Granted,
    Refused,
    /** A voter has answered this replica. */
    Received,
    Denied,
    /** This leader has stepped down. */
    SteppedDown
};
const char *nameOf(ElectionStep step);

enum class ElectionReason {
    None,
    /** The voter hears a leader, or has heard one within the election timeout. */
    HearsLeader,
    /** The voter has just voted, for itself or another, and waits for that election to end. */
    AwaitsElection,
    LogBehind,
    TermBehind,
    VotedForOther,
    /** Requested by the leader that handed over. */
    HandOver,
    /** No voter knows a leader. */
    AfterRestart,
    NoQuorum,
    LaterTerm
};
const char *nameOf(ElectionReason reason);

/** What an owner logs of an election. */
struct ElectionEvent {
    ElectionStep step = ElectionStep::Started;
    bool isPreVote = false;
    Term term = 0;
    /** The candidate or voter at the other end; empty if there is none. */
    std::string peer;
    ElectionReason reason = ElectionReason::None;
    /** Time since this replica last heard a leader. */
    Duration leaderSilence = absl::ZeroDuration();
};

struct OutboundMessage {
    std::string to;
    wire::PeerBodyUnion body;
};

/**
 * Actions for the owner, in this order: send `immediate`; if isDurable() is true, write snapshot or hard state and entries in one step;
 * then send `afterSync` and call persisted(). Effects must be executed in the order in which they were drained.
 */
struct Effects {
    std::vector<OutboundMessage> immediate;
    std::vector<OutboundMessage> afterSync;
    std::optional<wire::HardStateT> hardState;
    std::vector<wire::LogRecordT> entries;
    /** Replaces the log on disk with this snapshot, `hardState` and `entries`. */
    std::shared_ptr<const wire::SnapshotHeaderT> snapshot;
    /** True if the snapshot came from the leader: the state machine must be reset to it before `committed` is applied. */
    bool resetToSnapshot = false;
    std::vector<wire::LogRecordT> committed;
    std::vector<ElectionEvent> electionEvents;

    bool isDurable() const
    {
        return this->hardState || !this->entries.empty() || this->snapshot;
    }
};

class Replica
{
public:
    Replica(ReplicaSettings replicaSettings, storage::RecoveredState recovered, Timestamp now, std::uint64_t seed);

    /** Starts a new group with this replica as its only voter. The replica must have no membership yet. */
    void bootstrapGroup(Timestamp now);

    void tick(Timestamp now);
    void receive(Timestamp now, const std::string &from, wire::PeerBodyUnion body);

    /** As leader: sends proposed entries to the followers, without waiting for its own disk. */
    void replicate(Timestamp now);

    /** Appends an entry if this replica leads. @return its index, or nothing */
    std::optional<Index> propose(const std::string &data);

    /**
     * Appends a membership that differs by one replica, if this replica leads, has committed an entry of its term and no other membership
     * change is pending.
     */
    bool proposeMembership(const wire::MembershipT &next);

    /**
     * As follower: tells the leader that it is heard, without waiting for the disk as answers do. Promises nothing that must be durable: the silence
     * towards other candidates that the leader lease rests on is kept in memory, and by a restarted replica for as long.
     */
    void confirmLeader();
    /** Reports how long a write took, including its time in the queue. Elections allow for the writes of candidates and voters. */
    void recordWriteTime(Duration time);

    /** Reports that all entries up to @p index are durable here; @p term is the term of the entry at @p index when it was written. */
    void persisted(Timestamp now, Index index, Term term);

    /** Removes the entries up to @p index, which are covered by the state machine's snapshot @p data. */
    void compact(Index index, const std::string &data);

    /** As leader: asks the most up-to-date voter outside @p excluded to take over, and steps down. @return false if no voter can */
    bool transferLeadership(Timestamp now, const std::vector<std::string> &excluded = {});

    Effects drainEffects();

    bool isLeader() const;
    /** True if no other replica can have become leader up to @p now; required for answering from local state. */
    bool hasLeaderLease(Timestamp now) const;
    /** End of the leader lease as far as it is confirmed; InfinitePast if this replica doesn't lead. */
    Timestamp leaderLeaseEnd() const;
    /** True if this replica leads and has committed an entry of its own term, and with it all entries of earlier leaders. */
    bool isCaughtUpLeader() const;
    /**
     * As leader: for how long no entry has been committed although there are uncommitted ones; zero otherwise. Followers that answer heartbeats
     * but store no entries keep the leader lease valid, so that only this shows that calls aren't completed.
     */
    Duration commitStall(Timestamp now) const;
    /** When this replica became leader; meaningful if isLeader(). */
    Timestamp leaderSince() const;
    const std::string &leader() const;
    Term currentTerm() const;
    Index commitIndex() const;
    Index lastIndex() const;
    Index firstIndex() const;
    bool isMember() const;
    const wire::MembershipT &membership() const;
    bool hasPendingMembership() const;
    /** As leader: true if a majority of @p voters, which may differ from the current ones, has answered within the last heartbeats. */
    bool isInContactWithMajorityOf(const std::vector<std::string> &voters, Timestamp now) const;
    /** As leader: true if @p member has answered, or confirmed to hear this replica, within two election timeouts. */
    bool isInContactWith(const std::string &member, Timestamp now) const;
    /**
     * As leader: true if @p member stores every committed entry, or has been sent all of them and has stored entries for an election timeout
     * without falling silent. A member with a slower disk than the others is always some entries short of the newest commit.
     */
    bool isCaughtUp(const std::string &member, Timestamp now) const;
    /** As leader: the index up to which @p replica is known to be durable. */
    Index matchOf(const std::string &replica) const;
    /** As leader: when @p replica last answered, or when this replica became leader if it hasn't since; @p now for itself. */
    Timestamp lastReplyOf(const std::string &replica, Timestamp now) const;
    const std::shared_ptr<const wire::SnapshotHeaderT> &currentSnapshot() const;

    /** What a leader knows of a follower. */
    struct FollowerStatus {
        std::string replica;
        /** Entries of the leader's log that the follower isn't known to store durably. */
        Index lag = 0;
        /** Append messages without an answer. */
        std::size_t inFlight = 0;
        /** Time since its last answer. */
        Duration silence = absl::ZeroDuration();
    };
    /** As leader: the status of each other member, in the order of the membership; empty otherwise. */
    std::vector<FollowerStatus> followers(Timestamp now) const;

private:
    struct Progress {
        Index next = 1;
        Index match = 0;
        AppendWindow inFlight;
        /** True until the last common entry of the follower's log and this one is known. */
        bool probing = true;
        /** When the follower first accepted a message since it was last silent. */
        Timestamp acceptsSince = absl::InfiniteFuture();
        Timestamp lastSent;
        /** Send time of the newest append that the follower answered, by this replica's clock. */
        Timestamp lastAckSentAt = absl::InfinitePast();
        Timestamp lastReply = absl::InfinitePast();
        /** When an answer or a receipt last arrived. */
        Timestamp lastHeard = absl::InfinitePast();
        std::uint64_t snapshotOffset = 0;
        Index snapshotIndex = 0;
        /** Send time in microseconds of the snapshot chunk that isn't answered yet. */
        std::optional<std::int64_t> chunkSentAt;
        /**
         * Set while the follower is silent: send time in microseconds of the first message without entries. Its answer, or that of a later one,
         * shows that everything sent before has arrived or is lost.
         */
        std::optional<std::int64_t> silentSince;
    };

    void becomeFollower(Term newTerm, const std::string &newLeader);
    enum class Election {
        /** Checks whether an election could be won; changes nothing at the voters. */
        PreVote,
        Vote,
        /** Requested by the leader, so that voters need not wait for the leader's timeout. */
        AfterHandOver,
        /** No voter knows a leader, so that restarted voters need not wait either. */
        AfterRestart
    };

    void startElection(Timestamp now, Election election);
    void becomeLeader(Timestamp now);
    void resetElectionTimer(Timestamp now);
    /** After a vote, for itself or another: waits for the writes of the election, also where they take longer than the election timeout. */
    void awaitElection(Timestamp now);
    /** True if the replica was started recently and has had no contact with a leader. */
    bool isFreshlyStarted(Timestamp now) const;
    bool hasUnanimousRestart() const;
    bool stepDownWithoutQuorum(Timestamp now);

    void onVoteRequest(Timestamp now, const std::string &from, const wire::VoteRequestT &request);
    void onVoteReply(Timestamp now, const std::string &from, const wire::VoteReplyT &reply);
    void onAppendRequest(Timestamp now, const std::string &from, wire::AppendRequestT &request);
    void onAppendReply(Timestamp now, const std::string &from, const wire::AppendReplyT &reply);
    void onSnapshotChunk(Timestamp now, const std::string &from, const wire::SnapshotChunkT &chunk);
    void onSnapshotReply(Timestamp now, const std::string &from, const wire::SnapshotReplyT &reply);
    void acceptLeader(Timestamp now, const std::string &from, Term term);
    /** None if this voter may grant its vote. */
    ElectionReason voteRefusal(Timestamp now, const wire::VoteRequestT &request) const;
    ElectionReason logRefusal(const wire::VoteRequestT &request) const;
    void recordElectionEvent(Timestamp now, ElectionStep step, bool isPreVote, Term term, const std::string &peer, ElectionReason reason);
    /** As leader: whether an answer of @p term belongs to a message that was sent at @p sentAtMicros, in this leader's term. */
    bool isAnswerOfThisTerm(Term term, std::int64_t sentAtMicros) const;
    static void recordHeard(Timestamp now, Progress &progress, std::int64_t sentAtMicros);
    void recordAck(Timestamp now, Progress &progress, std::int64_t sentAtMicros);

    Index storeEntries(std::vector<std::unique_ptr<wire::LogRecordT>> &entries);
    void installSnapshot(wire::SnapshotHeaderT snapshot);
    void broadcast(Timestamp now, bool heartbeat);
    void sendAppend(Timestamp now, const std::string &to, Progress &progress, bool heartbeat);
    wire::AppendRequestT makeAppend(Timestamp now, Index previousIndex) const;
    /** Adds the entries after @p request's previous one, until they exceed @p maxBytes. */
    void addEntries(wire::AppendRequestT &request, std::size_t maxBytes) const;
    void sendEntries(Timestamp now, const std::string &to, Progress &progress);
    /** Sends a heartbeat, whose answer tells whether the follower holds the entry before the next one. */
    void sendEmptyAppend(Timestamp now, const std::string &to, Progress &progress);
    void sendSnapshotChunk(Timestamp now, const std::string &to, Progress &progress);
    const std::string &snapshotBytes();
    void advanceCommit();
    void commitTo(Index index);
    void appendAsLeader(wire::EntryKind kind, const std::string &data);
    void recomputeMembership();
    void truncateFrom(Index index);

    template<typename Body>
    void sendNow(const std::string &to, Body body);
    template<typename Body>
    void sendPreVote(Timestamp now, const std::string &to, const Body &body);
    template<typename Body>
    void sendAfterSync(const std::string &to, Body body);

    bool isVoter(const std::string &replica) const;
    std::size_t quorum() const;
    std::optional<Term> termAt(Index index) const;
    const wire::LogRecordT &entryAt(Index index) const;
    std::vector<std::string> otherMembers() const;
    void saveHardState();

    const ReplicaSettings settings;
    std::mt19937_64 random;

    wire::HardStateT hardState;
    // Invariant: indexes are consecutive, beginning with firstIndex(); everything up to `committedIndex` never changes.
    std::deque<wire::LogRecordT> entries;
    Index baseIndex = 0; // index of the entry before entries.front()
    Term baseTerm = 0;
    std::shared_ptr<const wire::SnapshotHeaderT> snapshot;
    Index committedIndex = 0;
    Index durableIndex = 0;
    // Updated by replicate() as leader: when all entries were committed, or the commit index was seen to advance.
    Timestamp commitProgressAt = absl::InfinitePast();
    Index observedCommit = 0;

    // Invariant: the newest membership in log or snapshot, committed or not.
    wire::MembershipT members;
    Index membershipIndex = 0;

    ReplicaRole role = ReplicaRole::Follower;
    std::string leaderName;
    Timestamp electionDeadline;
    Timestamp lastHeardLeader;
    LeaderTimeout leaderTimeout;
    /** Send time of the newest message of the leader, by its clock, and of the newest one that was confirmed by a receipt. */
    std::int64_t heardSentAtMicros = 0;
    std::int64_t confirmedSentAtMicros = 0;
    /** Longest recent write; decays with each write. */
    Duration longestWrite;
    /** Until then this replica, which has voted in an election that waits for slow writes, supports no other candidate. */
    Timestamp votedUntil = absl::InfinitePast();
    const Timestamp startedAt;
    const Term termAtStart;
    /** True if this replica has had contact with a leader, or has led, since its start. */
    bool heardLeader = false;
    /** Voters that know no leader, by their answers to the current pre-vote. */
    absl::flat_hash_set<std::string> votersWithoutLeader;
    Timestamp leadingSince;
    Timestamp lastBroadcast;
    Index termStartIndex = 0;
    absl::flat_hash_map<std::string, bool> votes;
    absl::flat_hash_map<std::string, Progress> progresses;

    /** Serialized `snapshot`, from which chunks are sent; built once for each snapshot. */
    std::string packedSnapshot;
    Index packedSnapshotIndex = 0;
    std::string incomingSnapshot;
    Index incomingSnapshotIndex = 0;

    Effects effects;
};

} // namespace paddlepier::consensus

#endif
