// One replica of a replicated state machine: consensus core, state, disk and peers tied together.
//
// Proposals are written in groups: while a write is under way, everything that comes in waits for the next one and shares
// its sync. The node also sees to it that the group is formed once, and that a replica whose folder was lost comes back as
// a new one: first as a learner, then, when it holds the whole log durably, as a voter in the place of the old one. Where
// instances are found at run time, a new instance may take the place of one that has been silent.
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
#include "paddlepier/consensus/replica.h"
#include "paddlepier/replication/diskwriter.h"
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

/** A deterministic state machine that a group of replicas applies in log order. */
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
    /** True once any command has been applied. */
    {
        constState.hasHistory()
        } -> std::convertible_to<bool>;
    {
        State::failure(ErrorCode::NotLeader, text)
        } -> std::same_as<typename State::Outcome>;
};

struct GroupOptions {
    std::string name;
    /** Folder of this replica alone. */
    std::string folder;
    std::string instance;
    /** Instances that hold the first replicas; the first of them forms the group. */
    std::vector<std::string> initialInstances;
    /** False where the group is known to exist, as after the loss of a disk. */
    bool mayBootstrap = true;
    /** Instances other than initialInstances() may join. */
    bool acceptsNewInstances = false;
    consensus::Admission::Limits admission;
    Duration heartbeatInterval;
    Duration electionTimeout;
    std::uint32_t driftPerMille = 10;
};

namespace detail
{

/** Pause between two requests to join; a few round trips and a sync. */
constexpr Duration joinInterval = absl::Milliseconds(300);

/** A voter that has heard no leader for this long asks whether it still is one: twice the longest election. */
constexpr Duration leaderContactTimeout = absl::Seconds(2);

/** Log entries after which a snapshot is taken. */
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

    /** @throws CorruptLogError, ForeignDataFolderError, StorageFailureError as ReplicaStore */
    ReplicaNode(GroupOptions groupOptions, DiskWriter &diskWriter, Send frameSender, Counters &counters, Timestamp now, std::uint64_t seed);

    void receive(Timestamp at, wire::PeerFrameT frame);
    void tick(Timestamp at);
    /** Sends, writes and applies what has come up; call it after every batch of events. */
    void flush(Timestamp at);

    /**
     * Proposes a command. @p completed gets the outcome when it is applied, or a failure: NotLeader if this replica
     * doesn't lead, Timeout if it stopped leading, in which case the command may still be applied later.
     */
    void proposeBytes(const std::string &command, Completed completed);

    /** True if this replica may answer from its state: it leads, has caught up, and no other can lead now. */
    bool isServing(Timestamp at) const;
    /** Instance of the leader, if it is known. */
    std::string leaderInstance() const;
    /** Instances that hold a replica, and others that were named by addPeer(). */
    std::vector<std::string> knownInstances() const;
    /** Names an instance that may hold a replica. */
    void addPeer(const std::string &instance);

    const std::string &name() const;
    State &state();
    const consensus::Replica &replica() const;

    /** Gives leadership to another replica, if this one leads. */
    void transferLeadership(Timestamp at);

private:
    struct Proposal {
        consensus::Term term = 0;
        Completed completed;
    };

    struct PendingWrite {
        consensus::Effects effects;
        bool isEmpty = true;
    };

    void receiveJoinRequest(const std::string &fromInstance, const wire::JoinRequestT &request);
    void receiveJoinReply(const std::string &fromInstance, const wire::JoinReplyT &reply);
    void requestMembership(Timestamp at);
    void bootstrapIfAllAgree(Timestamp at);
    void applyEntry(const wire::LogRecordT &entry);
    void failProposals();
    void mergePendingWrite(consensus::Effects &effects);
    void submitPendingWrite();
    void sendAll(std::vector<consensus::OutboundMessage> &messages);
    void compactIfNeeded();
    bool isVoter() const;

    const GroupOptions options;
    DiskWriter &disk;
    const Send send;
    Counter &appliedEntries;
    Histogram &commitTimes;
    std::shared_ptr<storage::ReplicaStore> store;
    consensus::Admission admission;
    std::unique_ptr<consensus::Replica> core;
    State stateMachine;
    consensus::Index appliedIndex = 0;
    /** Newest term in which this replica led with everything of earlier terms applied. */
    consensus::Term appliedTerm = 0;

    // Invariant: keys are indexes of this leader's own entries that are not applied yet.
    std::map<consensus::Index, Proposal> proposals;
    std::map<consensus::Index, Timestamp> proposedAt;
    PendingWrite pendingWrite;
    bool diskBusy = false;
    Timestamp now;

    Timestamp nextJoinRequestAt = absl::InfinitePast();
    Timestamp leaderSeenAt;
    std::set<std::string> peers;
    std::map<std::string, bool> hasGroupByInstance;
    bool wasLeader = false;
};

} // namespace paddlepier::replication

#include "paddlepier/replication/replicanode_detail.h"

#endif
