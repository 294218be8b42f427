// One replica of a replicated state machine: connects the consensus core with the state machine, the disk and the peers.
//
// Writes are batched: entries that arrive during a write are written together by the next one and share its sync. The node also ensures
// that the group is bootstrapped only once, and that a replica whose folder was lost rejoins under a new identity: as a learner first, and as
// a voter in place of the old replica once it stores the complete log durably. With acceptsNewInstances, a new instance may also replace a
// voter that has been unresponsive or that leaves. A leader that doesn't serve, or commits nothing although commands wait, transfers its leadership.
//
// Example:
//     ReplicaNode<MyState> node(options, disk, send, counters, now, seed);
//     node.proposeBytes(command, [](const MyState::Outcome &outcome) { ... });
//     node.tick(now); node.flush(now);
//
// Thread safety: none; owned by the control thread.

#ifndef PADDLEPIER_REPLICATION_REPLICANODE_H
#define PADDLEPIER_REPLICATION_REPLICANODE_H

#include "paddlepier/base/counters.h"
#include "paddlepier/base/log.h"
#include "paddlepier/consensus/admission.h"
#include "paddlepier/consensus/leave.h"
#include "paddlepier/consensus/replica.h"
#include "paddlepier/replication/diskwriter.h"
#include "paddlepier/replication/servingwatchdog.h"
#include "paddlepier/storage/replicastore.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace paddlepier::replication
{

/** Deterministic state machine to which all replicas of a group apply the log in order. */
template<typename State>
concept ReplicatedState = std::default_initializable<State> && requires(State state, const State constState, std::vector<std::uint8_t> bytes, std::string text)
{
    typename State::Outcome;
    {
        state.apply(bytes)
        } -> std::same_as<typename State::Outcome>;
    {
        constState.snapshot()
        } -> std::convertible_to<std::string>;
    state.restore(text);
    /** True once a command has been applied. */
    {
        constState.hasHistory()
        } -> std::convertible_to<bool>;
    {
        State::failure(ErrorCode::NotLeader, text)
        } -> std::same_as<typename State::Outcome>;
};

struct GroupOptions {
    std::string name;
    /** Folder used by this replica only. */
    std::string folder;
    std::string instance;
    /** Instances of the initial replicas; the first of them bootstraps the group. */
    std::vector<std::string> initialInstances;
    /** False if the group is known to exist, for example after the loss of a disk: bootstrapping again would create a second group. */
    bool mayBootstrap = true;
    /** Whether instances outside `initialInstances` may join. */
    bool acceptsNewInstances = false;
    consensus::Admission::Limits admission;
    Duration heartbeatInterval;
    Duration electionTimeout;
    std::uint32_t driftPerMille = 10;
};

namespace detail
{

/** Interval between join requests; covers a few round trips and a sync. */
constexpr Duration joinInterval = absl::Milliseconds(300);

/** A voter without contact to a leader for this long requests membership again, as it may have been removed: twice the longest election. */
constexpr Duration leaderContactTimeout = absl::Seconds(2);

/** A leader that has committed nothing for this long although calls wait for it doesn't serve them; dozens of commits take less. */
constexpr Duration maxCommitStall = absl::Milliseconds(500);

/** A write that holds messages back for longer than this many heartbeats is logged: four cause an election. */
constexpr int slowWriteHeartbeats = 2;

/** Length of the log, in entries, at which a snapshot replaces it. */
constexpr std::size_t entriesPerSnapshot = 8192;

inline bool containsName(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

inline consensus::ReplicaSettings replicaSettings(const GroupOptions &options, const std::string &identity)
{
    consensus::ReplicaSettings replica;
    replica.self = identity;
    replica.heartbeatInterval = options.heartbeatInterval;
    replica.electionTimeout = options.electionTimeout;
    replica.driftPerMille = options.driftPerMille;
    return replica;
}

} // namespace detail

template<ReplicatedState State>
class ReplicaNode
{
public:
    using Send = std::function<void(const std::string &instance, wire::PeerFrameT frame)>;
    using Outcome = typename State::Outcome;
    using Completed = std::function<void(const Outcome &)>;

    /** @throws CorruptLogError, ForeignDataFolderError, StorageFailureError  under the same conditions as ReplicaStore */
    ReplicaNode(GroupOptions groupOptions, DiskWriter &diskWriter, Send frameSender, Counters &counters, Timestamp now, std::uint64_t seed);

    void receive(Timestamp at, wire::PeerFrameT frame);
    void tick(Timestamp at);
    /** Sends pending messages, starts pending writes and applies committed entries. Call it after every batch of events. */
    void flush(Timestamp at);

    /**
     * Proposes a command. @p completed is called with the outcome when the command is applied, or with a failure: NotLeader if this replica
     * is not the leader, Timeout if it lost leadership, in which case the command may still be applied later.
     */
    void proposeBytes(const std::string &command, Completed completed);

    /** Whether this replica may serve reads from its state: it is the leader, holds the leader lease, and has applied all earlier terms. */
    bool isServing(Timestamp at) const;
    /** Instance of the leader; empty if unknown. */
    std::string leaderInstance() const;
    /** Instances of all members of the group, and those added by addPeer(). */
    std::vector<std::string> knownInstances() const;
    /** Adds an instance that may hold a replica. */
    void addPeer(const std::string &instance);

    const std::string &name() const;
    State &state();
    const consensus::Replica &replica() const;

    /** Transfers leadership to another replica that doesn't leave, if this one is the leader. */
    void transferLeadership(Timestamp at);

    /** Announces from the next tick on that this process is about to stop, and transfers leadership away. */
    void leave();
    /** After leave(): whether the group gains nothing from a later stop, and no proposal of this replica is pending. */
    bool hasLeft(Timestamp at) const;

private:
    struct Proposal {
        consensus::Term term = 0;
        Completed completed;
    };

    struct PendingWrite {
        consensus::Effects effects;
        bool isEmpty = true;
        /** When the first of the effects was drained. */
        Timestamp since;
    };

    void receiveJoinRequest(const std::string &fromInstance, const wire::JoinRequestT &request);
    void receiveJoinReply(const std::string &fromInstance, const wire::JoinReplyT &reply);
    void requestMembership(Timestamp at);
    void sendJoinRequests(bool leaving);
    void announceLeave(Timestamp at);
    void bootstrapIfAllAgree(Timestamp at);
    void applyEntry(const wire::LogRecordT &entry);
    void failProposals();
    void mergePendingWrite(consensus::Effects &effects);
    void submitPendingWrite();
    /** Tells the leader that it is heard while answers to it wait for the disk. */
    void confirmLeaderIfLate(Timestamp at);
    void logElectionEvents(const std::vector<consensus::ElectionEvent> &events) const;
    void sendAll(std::vector<consensus::OutboundMessage> &messages);
    void compactIfNeeded();
    /** Transfers leadership if this leader has long been unable to complete calls; its followers don't replace it while they hear it. */
    void superviseLeadership(Timestamp at);
    bool isVoter() const;

    const GroupOptions options;
    DiskWriter &disk;
    const Send send;
    Counter &appliedEntries;
    Histogram &commitTimes;
    std::shared_ptr<storage::ReplicaStore> store;
    consensus::Admission admission;
    std::unique_ptr<consensus::Replica> core;
    consensus::Leave leaveProgress;
    State stateMachine;
    consensus::Index appliedIndex = 0;
    /** Newest term in which this replica was the leader and had applied all entries of earlier terms. */
    consensus::Term appliedTerm = 0;

    // Invariant: the keys are indexes of entries that this leader proposed and that are not applied yet.
    std::map<consensus::Index, Proposal> proposals;
    std::map<consensus::Index, Timestamp> proposedAt;
    PendingWrite pendingWrite;
    bool diskBusy = false;
    /** When the effects of the write in progress were drained. */
    Timestamp writingSince;
    Timestamp now;

    Timestamp nextJoinRequestAt = absl::InfinitePast();
    Timestamp leaderSeenAt;
    std::set<std::string> peers;
    std::map<std::string, bool> hasGroupByInstance;
    bool wasLeader = false;
    ServingWatchdog servingWatchdog;
};

} // namespace paddlepier::replication

#include "paddlepier/replication/replicanode_detail.h"

#endif
