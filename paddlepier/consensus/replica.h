// One replica of a replicated log, free of I/O.
//
// The replica agrees with its peers on one order of entries (leader election with pre-vote and check-quorum, log
// replication, snapshots, learners, membership changes by one replica at a time, hand-over of leadership). It reads no
// clock, socket or file: the owner passes in time, messages and completions of disk writes, and carries out the Effects
// it takes out afterwards.
//
// Guarantees, as long as the owner keeps the order stated at Effects:
//  - entries that were given out as committed are never lost or reordered while a majority of the voters keeps its disk;
//  - at most one leader a term; hasLeaderLease() is true on at most one replica at a time, if clocks run at the same
//    rate within the drift bound.
//
// A voter that has restarted may have promised a leader its silence, and keeps it for an election timeout. After a restart
// of the whole group that would be time lost: if every voter says that it knows no leader, there is none whose lease could
// still run, and the group elects one at once.
//
// Example:
//     Replica replica(settings, recovered, now, seed);
//     replica.receive(now, from, message);
//     const Effects effects = replica.takeEffects();
//     // send effects.now; write effects to disk, then send effects.afterSync and call replica.persisted(...)
//
// Thread safety: none; owned by the control thread.

#ifndef PADDLEPIER_CONSENSUS_REPLICA_H
#define PADDLEPIER_CONSENSUS_REPLICA_H

#include "paddlepier/base/clock.h"
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

/** Safety checks that only a test switches off, to show that it notices. */
struct ReplicaGuards {
    bool preVote = true;
    /** A voter refuses votes while it hears from a leader; the leader's lease rests on it. */
    bool stickyVotes = true;
    /** Acknowledge only what is synced. */
    bool syncBeforeAcknowledge = true;
    /** An election right after a restart needs the word of every voter that it knows no leader, not of a majority. */
    bool unanimousRestart = true;
};

struct ReplicaSettings {
    /** This replica's identity. */
    std::string self;
    Duration heartbeat = absl::Milliseconds(100);
    /** Shortest silence after which a follower starts an election, while its leader's messages come in time; the longest is twice that. */
    Duration election = absl::Milliseconds(500);
    /**
     * Shortest pause between the pre-votes of a replica that has heard from no leader since it was started; the longest
     * is twice that. A few round trips.
     */
    Duration restartProbe = absl::Milliseconds(30);
    std::uint32_t driftPerMille = 10;
    std::size_t appendBytes = std::size_t{256} * 1024;
    std::size_t chunkBytes = std::size_t{256} * 1024;
    /** Append messages without an answer that one follower may have at a time. */
    std::size_t pipelineDepth = 16;
    ReplicaGuards guards;
};

struct Outbound {
    std::string to;
    wire::PeerBodyUnion body;
};

/**
 * What the owner must do, in this order: send `now`; if isDurable() is true, write snapshot or hard state and entries in
 * one step; then send `afterSync` and report persisted(). Effects are carried out in the order in which they were taken.
 */
struct Effects {
    std::vector<Outbound> now;
    std::vector<Outbound> afterSync;
    std::optional<wire::HardStateT> hardState;
    std::vector<wire::LogRecordT> entries;
    /** Replaces the log on disk by this snapshot, `hardState` and `entries`. */
    std::shared_ptr<const wire::SnapshotHeaderT> snapshot;
    /** Set if the snapshot came from the leader: the state machine must be reset to it before `committed`. */
    bool resetToSnapshot = false;
    std::vector<wire::LogRecordT> committed;

    bool isDurable() const
    {
        return this->hardState || !this->entries.empty() || this->snapshot;
    }
};

class Replica
{
public:
    Replica(ReplicaSettings replicaSettings, storage::RecoveredState recovered, Timestamp now, std::uint64_t seed);

    /** Starts a new group with this replica as its only voter. Must have no membership yet. */
    void formGroup(Timestamp now);

    void tick(Timestamp now);
    void receive(Timestamp now, const std::string &from, wire::PeerBodyUnion body);

    /** As leader: sends proposed entries to the followers, without waiting for the own disk. */
    void replicate(Timestamp now);

    /** Appends an entry if this replica leads. @return its index, or nothing */
    std::optional<Index> propose(const std::string &data);

    /**
     * Appends a membership that differs by one replica, if this replica leads, has committed an entry of its term and
     * no other change is on its way.
     */
    bool proposeMembership(const wire::MembershipT &next);

    /** All entries up to @p index are durable here; @p term is that of the entry at @p index when it was written. */
    void persisted(Timestamp now, Index index, Term term);

    /** Drops entries up to @p index, which the state machine's @p data covers. */
    void compact(Index index, const std::string &data);

    /** As leader: asks the most advanced voter to take over, and stops leading. @return false if there is none */
    bool handOver(Timestamp now);

    Effects takeEffects();

    bool isLeader() const;
    /** True if no other replica can have become leader up to @p now; needed before answering from the state alone. */
    bool hasLeaderLease(Timestamp now) const;
    /** True if the leader has applied everything that earlier leaders committed. */
    bool isCaughtUpLeader() const;
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
    /** As leader: a majority of @p voters, which may be others than the members', has answered within the last heartbeats. */
    bool hearsMajorityOf(const std::vector<std::string> &voters, Timestamp now) const;
    /** As leader: the index up to which @p replica is known to be durable. */
    Index matchOf(const std::string &replica) const;
    /** As leader: when @p replica last answered, or when this replica became leader if it hasn't since; @p now for itself. */
    Timestamp lastReplyOf(const std::string &replica, Timestamp now) const;
    const std::shared_ptr<const wire::SnapshotHeaderT> &currentSnapshot() const;

private:
    struct Progress {
        Index next = 1;
        Index match = 0;
        std::size_t inFlight = 0;
        /** True while it isn't known where the follower's log meets this one. */
        bool probing = true;
        Timestamp lastSent;
        /** Send time of the newest append that it answered, on this replica's clock. */
        Timestamp lastAckSentAt = absl::InfinitePast();
        Timestamp lastReply = absl::InfinitePast();
        std::uint64_t snapshotOffset = 0;
        Index snapshotIndex = 0;
    };

    void becomeFollower(Term newTerm, const std::string &newLeader);
    enum class Election {
        /** Asks whether an election could be won; changes nothing at the voters. */
        PreVote,
        Vote,
        /** The leader has asked for it, so that voters need not wait for its silence. */
        AfterHandOver,
        /** Every voter knows no leader, so that those that have restarted need not wait either. */
        AfterRestart
    };

    void startElection(Timestamp now, Election election);
    void becomeLeader(Timestamp now);
    void resetElectionTimer(Timestamp now);
    /** It asks for votes, or answers, as one that was started a short while ago and has heard from no leader. */
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
    bool mayVote(Timestamp now, const wire::VoteRequestT &request) const;
    bool isUpToDate(const wire::VoteRequestT &request) const;
    void noteAck(Timestamp now, Progress &progress, std::int64_t sentAtMicros);

    Index storeEntries(std::vector<std::unique_ptr<wire::LogRecordT>> &entries);
    void installSnapshot(wire::SnapshotHeaderT snapshot);
    void broadcast(Timestamp now, bool heartbeat);
    void sendAppend(Timestamp now, const std::string &to, Progress &progress, bool heartbeat);
    void sendOneAppend(Timestamp now, const std::string &to, Progress &progress);
    void sendSnapshotChunk(Timestamp now, const std::string &to, Progress &progress);
    const std::string &snapshotBytes();
    void advanceCommit();
    void commitTo(Index index);
    void appendOwn(wire::EntryKind kind, const std::string &data);
    void recomputeMembership();
    void truncateFrom(Index index);

    template<typename Body>
    void sendNow(const std::string &to, Body body);
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

    // Invariant: the newest membership in log or snapshot, committed or not.
    wire::MembershipT members;
    Index membershipIndex = 0;

    ReplicaRole role = ReplicaRole::Follower;
    std::string leaderName;
    Timestamp electionDeadline;
    Timestamp lastHeardLeader;
    LeaderPatience patience;
    const Timestamp startedAt;
    const Term termAtStart;
    /** Since this replica was started it has heard from a leader, or has led. */
    bool heardLeader = false;
    /** Voters that know no leader, by their answers to the pre-vote under way. */
    absl::flat_hash_set<std::string> leaderless;
    Timestamp leadingSince;
    Timestamp lastBroadcast;
    Index termStartIndex = 0;
    absl::flat_hash_map<std::string, bool> votes;
    absl::flat_hash_map<std::string, Progress> progresses;

    /** Bytes of `snapshot` as they are sent in chunks; packed once for each snapshot. */
    std::string packedSnapshot;
    Index packedSnapshotIndex = 0;
    std::string incomingSnapshot;
    Index incomingSnapshotIndex = 0;

    Effects effects;
};

} // namespace paddlepier::consensus

#endif
