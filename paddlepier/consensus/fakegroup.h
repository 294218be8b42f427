// Test fake: a group of real replicas in one thread, with a fake network and fake disks in virtual time.
//
// Faults: loss, duplication, delay and reordering of messages, one-way and two-way cuts, freezes, crashes that lose
// unsynced data (or part of it), lost disks, slow disks and clocks that run at different rates; and planned stops. An oracle checks every
// step and records the first violated guarantee as text.
//
// Thread safety: none. Used by replica_test.cpp and admission_test.cpp only.

#ifndef PADDLEPIER_CONSENSUS_FAKEGROUP_H
#define PADDLEPIER_CONSENSUS_FAKEGROUP_H

#include "paddlepier/consensus/admission.h"
#include "paddlepier/consensus/leave.h"
#include "paddlepier/consensus/replica.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace paddlepier::consensus
{

enum class Fault {
    Run,
    Propose,
    Crash,
    Restart,
    Cut,
    CutOneWay,
    Heal,
    Freeze,
    Thaw,
    LoseDisk,
    SlowDisk,
    LoseMessages,
    HandOver,
    /** One member loses its disk, and all others lose power at the same moment. */
    LoseDiskAndPower,
    MAX = LoseDiskAndPower,
    // Not drawn at random, so that recorded seeds keep their scenarios.
    /** A member is asked to stop, and ends once its leave is settled. */
    Leave,
    /** A new replica of the member is started with an empty disk. */
    StartEmpty,
    /** A leader hands over before it has sent the command that it has just proposed. */
    ProposeAndHandOver
};

/** Assumptions about the environment that a test breaks, to show that the violation is detected. */
struct FakeGroupFaults {
    /** A replica that lost its disk returns under its old identity, the fault that unique identities prevent. */
    bool keepIdentity = false;
    /** Clocks stop while their member is frozen, like the steady clock of a suspended machine. */
    bool clocksStopWhileFrozen = false;
    /** A voter that was removed while unreachable requests admission once it has had no contact with a leader for some time. */
    bool removedVotersRequestAdmission = true;
    /** A member that is asked to stop announces its leave. Otherwise it only hands over, and its silence has to tell the others. */
    bool announcesLeave = true;
    /** Time of a write on a slow disk. */
    Duration slowSync = absl::Milliseconds(120);
    /** Number of voters, and data centres of the instances. */
    Admission::Limits limits = {};
};

struct FaultStep {
    Fault fault = Fault::Run;
    std::uint32_t first = 0;
    std::uint32_t second = 0;
};

class FakeGroup
{
public:
    FakeGroup(std::size_t size, ReplicaGuards replicaGuards, std::uint64_t seed, FakeGroupFaults groupFaults = {});

    /** @return the replica of member @p index; null while it is down */
    const Replica *replica(std::size_t index) const;

    /** Executes one step of a scenario. */
    void step(const FaultStep &faultStep);
    /** Ends all faults, then checks that the group works and has lost nothing. */
    void recoverAndVerify();
    /** The first violated guarantee, if any. */
    const std::optional<std::string> &violation() const;
    /** Proposes at the leaders until a command of these is committed. @return false if none is within @p timeout */
    bool commitsWithin(Duration timeout);
    /** @return the member with a caught-up leader; no value while there is none */
    std::optional<std::size_t> leader() const;

    /** Time after which a member that was asked to stop ends, settled or not. */
    static constexpr Duration stopTimeout = absl::Seconds(4);

private:
    struct Write {
        Timestamp due;
        Effects effects;
    };
    struct Member {
        std::string identity;
        std::unique_ptr<Replica> replica;
        std::unique_ptr<Admission> admission;
        storage::RecoveredState disk;
        std::deque<Write> writes;
        bool frozen = false;
        bool slowDisk = false;
        double clockRate = 1;
        /** Total time for which it was frozen. */
        Duration totalFrozen;
        Index applied = 0;
        Timestamp leaderSeenAt = absl::InfinitePast();
        std::uint32_t generation = 0;
        /** Set while the member has been asked to stop. */
        std::unique_ptr<Leave> leave;
        Timestamp stopBy;
    };
    struct Message {
        Timestamp due;
        std::size_t from = 0;
        std::size_t to = 0;
        std::string fromIdentity;
        std::string toIdentity;
        wire::PeerBodyUnion body;
    };

    void run(Duration duration);
    void tickAll();
    /** Requests admission from every reachable leader, as ReplicaNode does. */
    void requestAdmission(std::size_t index);
    void beginLeave(std::size_t index);
    /** Announces the leave to every reachable member, as ReplicaNode does; ends the member once it is settled. */
    void advanceLeave(std::size_t index);
    void deliver();
    void processMember(std::size_t index);
    void finishWrites(std::size_t index);
    static void applyWrite(Member &member, const Effects &effects, std::size_t maxEntries);
    void post(std::size_t from, std::vector<OutboundMessage> &messages);
    void apply(std::size_t index, const std::vector<wire::LogRecordT> &entries);
    void start(std::size_t index);
    void crash(std::size_t index);
    void loseDisk(std::size_t index);
    void loseDiskAndPower(std::size_t index);
    void restartWithEmptyDisk(std::size_t index);
    bool hasFullMembership() const;
    void proposeAtLeaders();
    void checkLeases();
    /** Checks that no learner is a replica that was replaced by another one of its instance. */
    void checkLearners();
    void fail(const std::string &what);
    Timestamp clockOf(const Member &member) const;
    std::size_t randomBelow(std::size_t bound);

    const ReplicaGuards guards;
    const FakeGroupFaults faults;
    std::mt19937_64 random;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::vector<Member> members;
    std::vector<Message> network;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::uint32_t lossPercent = 0;
    std::uint64_t nextCommand = 1;
    std::uint64_t newestCommitted = 0;
    // The oracle: content of the committed entries by index.
    std::map<Index, std::string> committed;
    std::optional<std::string> firstViolation;
};

} // namespace paddlepier::consensus

#endif
