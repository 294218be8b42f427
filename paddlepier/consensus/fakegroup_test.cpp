// Test fake: a group of real replicas in virtual time.

#include "paddlepier/consensus/fakegroup.h"

#include "paddlepier/wire/codec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <utility>

namespace paddlepier::consensus
{

namespace
{

constexpr Duration stepTime = absl::Milliseconds(10);
constexpr std::size_t entriesPerSnapshot = 24;

/** A voter without contact with a leader for this long requests admission in case it was removed, as ReplicaNode does. */
constexpr Duration leaderContactTimeout = absl::Seconds(2);

std::string contentOf(const wire::LogRecordT &entry)
{
    return absl::StrCat(static_cast<int>(entry.kind), ":", wire::toString(entry.data));
}

} // namespace

FakeGroup::FakeGroup(std::size_t size, ReplicaGuards replicaGuards, std::uint64_t seed, FakeGroupFaults groupFaults)
    : guards(replicaGuards)
    , faults(std::move(groupFaults))
    , random(seed)
    , members(size)
{
    for (std::size_t index = 0; index < size; ++index) {
        // Within the drift bound of 10 per mille.
        this->members[index].clockRate = 1.0 + (static_cast<double>(this->randomBelow(17)) - 8) / 1000;
        this->start(index);
    }
    this->members[0].replica->bootstrapGroup(this->clockOf(this->members[0]));
    this->run(absl::Seconds(4));
}

std::size_t FakeGroup::randomBelow(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(this->random);
}

const Replica *FakeGroup::replica(std::size_t index) const
{
    return this->members[index].replica.get();
}

const std::optional<std::string> &FakeGroup::violation() const
{
    return this->firstViolation;
}

void FakeGroup::fail(const std::string &what)
{
    if (!this->firstViolation) {
        this->firstViolation = what;
    }
}

Timestamp FakeGroup::clockOf(const Member &member) const
{
    const Duration uncounted = this->faults.clocksStopWhileFrozen ? member.totalFrozen : absl::ZeroDuration();
    return absl::UnixEpoch() + (this->now - uncounted - absl::UnixEpoch()) * member.clockRate;
}

void FakeGroup::start(std::size_t index)
{
    Member &member = this->members[index];
    if (member.identity.empty()) {
        member.identity = absl::StrCat("m", index, "/", member.generation++);
    }
    ReplicaSettings settings;
    settings.self = member.identity;
    settings.guards = this->guards;
    settings.chunkBytes = 64;
    settings.appendBytes = 1;
    member.replica = std::make_unique<Replica>(settings, member.disk, this->clockOf(member), this->random());
    member.admission = std::make_unique<Admission>([](Admission::Step, const std::string &) {}, this->faults.limits);
    member.applied = member.disk.snapshot ? member.disk.snapshot->index : 0;
}

void FakeGroup::applyWrite(Member &member, const Effects &effects, std::size_t maxEntries)
{
    storage::RecoveredState &disk = member.disk;
    if (effects.snapshot) {
        disk.snapshot = effects.snapshot;
        disk.entries.clear();
    }
    if (effects.hardState) {
        disk.hardState = *effects.hardState;
    }
    for (std::size_t position = 0; position < std::min(maxEntries, effects.entries.size()); ++position) {
        const wire::LogRecordT &entry = effects.entries[position];
        while (!disk.entries.empty() && disk.entries.back().index >= entry.index) {
            disk.entries.pop_back();
        }
        disk.entries.push_back(entry);
    }
}

void FakeGroup::crash(std::size_t index)
{
    Member &member = this->members[index];
    if (!member.replica) {
        return;
    }
    // Of the pending write, a prefix may have reached the disk; a snapshot is renamed atomically.
    if (!member.writes.empty() && !member.writes.front().effects.snapshot && this->randomBelow(2) == 0) {
        applyWrite(member, member.writes.front().effects, this->randomBelow(4));
    }
    member.writes.clear();
    member.replica.reset();
    member.leave.reset();
    member.frozen = false;
}

bool FakeGroup::hasFullMembership() const
{
    return std::any_of(this->members.begin(), this->members.end(), [this](const Member &leader) {
        if (!leader.replica || !leader.replica->isCaughtUpLeader() || leader.replica->hasPendingMembership()) {
            return false;
        }
        const wire::MembershipT &membership = leader.replica->membership();
        const auto votes = [&membership](const Member &member) {
            return std::find(membership.voters.begin(), membership.voters.end(), member.identity) != membership.voters.end();
        };
        const std::size_t expected = std::min(this->members.size(), this->faults.limits.maxVoters);
        const auto voting = static_cast<std::size_t>(std::count_if(this->members.begin(), this->members.end(), votes));
        return membership.voters.size() == expected && voting == expected;
    });
}

void FakeGroup::loseDisk(std::size_t index)
{
    // A group of three guarantees to tolerate one lost disk at a time; the next one may follow right after the recovery.
    if (this->hasFullMembership()) {
        this->restartWithEmptyDisk(index);
    }
}

void FakeGroup::loseDiskAndPower(std::size_t index)
{
    if (!this->hasFullMembership()) {
        return;
    }
    for (std::size_t other = 0; other < this->members.size(); ++other) {
        this->crash(other);
    }
    this->restartWithEmptyDisk(index);
}

void FakeGroup::restartWithEmptyDisk(std::size_t index)
{
    this->crash(index);
    this->members[index].disk = storage::RecoveredState();
    if (!this->faults.keepIdentity) {
        this->members[index].identity.clear();
    }
    this->start(index);
}

void FakeGroup::proposeAtLeaders()
{
    for (Member &member : this->members) {
        if (member.replica && !member.frozen && member.replica->isLeader()) {
            member.replica->propose(absl::StrCat("command-", this->nextCommand++));
        }
    }
}

void FakeGroup::step(const FaultStep &faultStep)
{
    const std::size_t first = faultStep.first % this->members.size();
    const std::size_t second = faultStep.second % this->members.size();
    Member &member = this->members[first];
    switch (faultStep.fault) {
    case Fault::Run:
        this->run(absl::Milliseconds(10 + faultStep.first % 1500));
        break;
    case Fault::Propose:
        this->proposeAtLeaders();
        this->run(stepTime * (faultStep.second % 4));
        break;
    case Fault::Crash:
        this->crash(first);
        break;
    case Fault::Restart:
        if (!member.replica) {
            this->start(first);
        }
        break;
    case Fault::Cut:
        this->cuts.emplace(second, first);
        [[fallthrough]];
    case Fault::CutOneWay:
        this->cuts.emplace(first, second);
        break;
    case Fault::Heal:
        this->cuts.clear();
        this->lossPercent = 0;
        break;
    case Fault::Freeze:
        member.frozen = member.replica != nullptr;
        break;
    case Fault::Thaw:
        member.frozen = false;
        break;
    case Fault::LoseDisk:
        this->loseDisk(first);
        break;
    case Fault::SlowDisk:
        member.slowDisk = !member.slowDisk;
        break;
    case Fault::LoseMessages:
        this->lossPercent = faultStep.first % 40;
        break;
    case Fault::LoseDiskAndPower:
        this->loseDiskAndPower(first);
        break;
    case Fault::Leave:
        this->beginLeave(first);
        break;
    case Fault::StartEmpty:
        this->restartWithEmptyDisk(first);
        break;
    case Fault::ProposeAndHandOver:
        this->proposeAtLeaders();
        [[fallthrough]];
    case Fault::HandOver:
        if (member.replica && !member.frozen) {
            member.replica->transferLeadership(this->clockOf(member));
        }
        break;
    }
    this->run(stepTime);
}

void FakeGroup::run(Duration duration)
{
    const Timestamp end = this->now + duration;
    while (this->now < end && !this->firstViolation) {
        this->now += stepTime;
        for (Member &member : this->members) {
            member.totalFrozen += member.frozen ? stepTime : absl::ZeroDuration();
        }
        this->deliver();
        this->tickAll();
        this->checkLeases();
    }
}

void FakeGroup::tickAll()
{
    for (std::size_t index = 0; index < this->members.size(); ++index) {
        Member &member = this->members[index];
        if (!member.replica || member.frozen) {
            continue;
        }
        member.replica->tick(this->clockOf(member));
        if (member.slowDisk && !member.writes.empty()) {
            member.replica->confirmLeader();
        }
        member.leave ? this->advanceLeave(index) : this->requestAdmission(index);
        if (member.replica) {
            member.admission->advance(*member.replica, this->clockOf(member));
            this->processMember(index);
        }
    }
}

void FakeGroup::beginLeave(std::size_t index)
{
    Member &member = this->members[index];
    if (!member.replica || member.leave) {
        return;
    }
    member.leave = std::make_unique<Leave>(member.identity);
    member.leave->begin();
    member.stopBy = this->now + stopTimeout;
}

void FakeGroup::advanceLeave(std::size_t index)
{
    Member &member = this->members[index];
    const Timestamp at = this->clockOf(member);
    const bool isDue = this->faults.announcesLeave && member.leave->isAnnouncementDue(at);
    if (isDue) {
        member.admission->recordLeave(member.identity, at);
    }
    for (std::size_t other = 0; isDue && other < this->members.size(); ++other) {
        Member &peer = this->members[other];
        if (other == index || !peer.replica || peer.frozen || this->cuts.contains({index, other})) {
            continue;
        }
        peer.admission->recordLeave(member.identity, this->clockOf(peer));
        if (!this->cuts.contains({other, index})) {
            const wire::LeaveStatus status = peer.admission->leaveStatusOf(*peer.replica, member.identity, this->clockOf(peer));
            member.leave->recordStatus(*member.replica, absl::StrCat("m", other), status);
        }
    }
    member.replica->transferLeadership(at, member.admission->leavingVoters(*member.replica, at));
    const bool isHandedOver = !member.replica->isLeader() && !member.replica->leader().empty();
    const bool isSettled = this->faults.announcesLeave ? member.leave->isSettled(*member.replica, *member.admission, at) : isHandedOver;
    if (isSettled || this->now >= member.stopBy) {
        this->crash(index);
    }
}

void FakeGroup::requestAdmission(std::size_t index)
{
    Member &member = this->members[index];
    if (!member.replica->leader().empty()) {
        member.leaderSeenAt = this->now;
    }
    const std::vector<std::string> &voters = member.replica->membership().voters;
    const bool votes = std::find(voters.begin(), voters.end(), member.identity) != voters.end();
    const bool mayBeRemoved = this->faults.removedVotersRequestAdmission && this->now - member.leaderSeenAt > leaderContactTimeout;
    for (std::size_t other = 0; (!votes || mayBeRemoved) && other < this->members.size(); ++other) {
        Member &leader = this->members[other];
        if (leader.replica && !leader.frozen && leader.replica->isLeader() && !this->cuts.contains({index, other})) {
            leader.admission->request(absl::StrCat("m", index), member.identity);
        }
    }
}

void FakeGroup::processMember(std::size_t index)
{
    Member &member = this->members[index];
    this->finishWrites(index);
    member.replica->replicate(this->clockOf(member));
    Effects effects = member.replica->drainEffects();
    this->post(index, effects.immediate);
    if (effects.resetToSnapshot) {
        member.applied = effects.snapshot->index;
    }
    const std::vector<wire::LogRecordT> committedEntries = std::move(effects.committed);
    if (effects.isDurable() || !effects.afterSync.empty()) {
        const Duration syncTime = member.slowDisk ? this->faults.slowSync : stepTime;
        member.replica->recordWriteTime(syncTime);
        member.writes.push_back({this->now + syncTime, std::move(effects)});
    }
    this->apply(index, committedEntries);
    if (member.replica->lastIndex() - member.replica->firstIndex() > entriesPerSnapshot) {
        member.replica->compact(member.applied, absl::StrCat("state-at-", member.applied, std::string(100, '.')));
    }
}

void FakeGroup::finishWrites(std::size_t index)
{
    Member &member = this->members[index];
    while (!member.writes.empty() && member.writes.front().due <= this->now) {
        Write write = std::move(member.writes.front());
        member.writes.pop_front();
        applyWrite(member, write.effects, write.effects.entries.size());
        this->post(index, write.effects.afterSync);
        if (!write.effects.entries.empty()) {
            member.replica->persisted(this->clockOf(member), write.effects.entries.back().index, write.effects.entries.back().term);
        }
    }
}

void FakeGroup::post(std::size_t from, std::vector<OutboundMessage> &messages)
{
    for (OutboundMessage &outbound : messages) {
        const std::size_t to = static_cast<std::size_t>(outbound.to[1] - '0');
        const std::size_t copies = this->randomBelow(100) < this->lossPercent ? 0 : this->randomBelow(100) < this->lossPercent / 2 ? 2 : 1;
        for (std::size_t copy = 0; copy < copies; ++copy) {
            const std::size_t spread = this->lossPercent > 0 ? 30 : 2;
            Message message{this->now + stepTime * (1 + this->randomBelow(spread)), from, to, this->members[from].identity, outbound.to, outbound.body};
            this->network.push_back(std::move(message));
        }
    }
    messages.clear();
}

void FakeGroup::deliver()
{
    std::vector<Message> due;
    std::vector<Message> later;
    for (Message &message : this->network) {
        const Member &to = this->members[message.to];
        const bool isReady = message.due <= this->now && !to.frozen;
        (isReady ? due : later).push_back(std::move(message));
    }
    this->network = std::move(later);
    std::stable_sort(due.begin(), due.end(), [](const Message &left, const Message &right) { return left.due < right.due; });
    for (Message &message : due) {
        Member &to = this->members[message.to];
        if (to.replica && to.identity == message.toIdentity && !this->cuts.contains({message.from, message.to})) {
            to.replica->receive(this->clockOf(to), message.fromIdentity, std::move(message.body));
            this->processMember(message.to);
        }
    }
}

void FakeGroup::apply(std::size_t index, const std::vector<wire::LogRecordT> &entries)
{
    Member &member = this->members[index];
    for (const wire::LogRecordT &entry : entries) {
        if (entry.index != member.applied + 1) {
            this->fail(absl::StrCat("m", index, " applied ", entry.index, " after ", member.applied));
        }
        member.applied = entry.index;
        const auto [known, isNew] = this->committed.emplace(entry.index, contentOf(entry));
        if (!isNew && known->second != contentOf(entry)) {
            this->fail(absl::StrCat("two different entries were committed at ", entry.index));
        }
        std::uint64_t command = 0;
        if (entry.kind == wire::EntryKind::Command && absl::SimpleAtoi(absl::StripPrefix(wire::toString(entry.data), "command-"), &command)) {
            this->newestCommitted = std::max(this->newestCommitted, command);
        }
    }
}

bool FakeGroup::commitsWithin(Duration timeout)
{
    const std::uint64_t first = this->nextCommand;
    for (const Timestamp end = this->now + timeout; this->now < end && this->newestCommitted < first;) {
        this->proposeAtLeaders();
        this->run(stepTime);
    }
    return this->newestCommitted >= first;
}

std::optional<std::size_t> FakeGroup::leader() const
{
    const auto leads = [](const Member &member) { return member.replica && member.replica->isCaughtUpLeader(); };
    const auto found = std::find_if(this->members.begin(), this->members.end(), leads);
    return found == this->members.end() ? std::nullopt : std::optional<std::size_t>(found - this->members.begin());
}

void FakeGroup::checkLeases()
{
    std::size_t leased = 0;
    for (const Member &member : this->members) {
        leased += member.replica && member.replica->hasLeaderLease(this->clockOf(member)) ? 1 : 0;
    }
    if (leased > 1) {
        this->fail("two replicas hold the leader lease");
    }
}

void FakeGroup::checkLearners()
{
    for (const Member &leader : this->members) {
        if (!leader.replica || !leader.replica->isCaughtUpLeader()) {
            continue;
        }
        for (const std::string &learner : leader.replica->membership().learners) {
            const auto isLearner = [&learner](const Member &member) { return member.identity == learner; };
            if (std::none_of(this->members.begin(), this->members.end(), isLearner)) {
                this->fail(absl::StrCat(learner, " is a learner although its instance has another replica"));
            }
        }
    }
}

void FakeGroup::recoverAndVerify()
{
    this->cuts.clear();
    this->lossPercent = 0;
    for (std::size_t index = 0; index < this->members.size(); ++index) {
        this->members[index].frozen = false;
        this->members[index].slowDisk = false;
        if (!this->members[index].replica) {
            this->start(index);
        }
    }
    this->run(absl::Seconds(8));
    this->proposeAtLeaders();
    this->run(absl::Seconds(2));
    const Index last = this->committed.empty() ? 0 : this->committed.rbegin()->first;
    if (!this->hasFullMembership()) {
        this->fail("the group has not returned to full membership");
    }
    this->checkLearners();
    for (const Member &member : this->members) {
        if (member.applied < last) {
            this->fail(absl::StrCat(member.identity, " holds ", member.applied, " of ", last, " committed entries"));
        }
    }
}

} // namespace paddlepier::consensus
