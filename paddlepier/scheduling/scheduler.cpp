// Placement of queued tasks.

#include "paddlepier/scheduling/scheduler.h"

#include "paddlepier/scheduling/policies.h"

#include <algorithm>
#include <limits>

namespace paddlepier::scheduling
{

namespace
{

constexpr std::int64_t microsPerSecond = 1'000'000;

static_assert(PlacementPolicy<PackingPolicy>);
static_assert(PlacementPolicy<SpreadingPolicy>);

Resources capacityOf(const ledger::Ledger &ledger)
{
    Resources sum;
    for (const auto &[name, worker] : ledger.workers()) {
        sum = ledger::plus(sum, worker.registration().capacity);
    }
    return sum;
}

std::unique_ptr<wire::PlacementT> toPlacement(const ledger::Job &job, std::uint32_t index, const std::string &worker)
{
    auto placement = std::make_unique<wire::PlacementT>();
    placement->job = job.id();
    placement->index = index;
    placement->worker = worker;
    return placement;
}

} // namespace

/** State of one call of decide(). */
struct Scheduler::Round {
    const ledger::Ledger &ledger;
    const std::int64_t atMicros;
    wire::PlaceTasksT command;
    std::size_t placed = 0;
    Resources capacity;
    std::map<std::string, Resources> used;
    /** Needs that fitted on no worker in this round; a need at least as large isn't searched for again. */
    std::vector<Resources> unplaceable;

    bool isFull() const
    {
        return this->placed >= maxPlacementsPerRound;
    }

    bool isKnownUnplaceable(const Resources &need) const
    {
        return std::any_of(this->unplaceable.begin(), this->unplaceable.end(), [&need](const Resources &failed) { return ledger::fits(failed, need); });
    }

    void countPlacement(const ledger::Job &job)
    {
        Resources &sum = this->used[job.record().partner];
        sum = ledger::plus(sum, job.spec().resources);
        ++this->placed;
    }
};

Scheduler::Class Scheduler::classOf(const ledger::Job &job)
{
    if (job.spec().urgent) {
        return Class::Urgent;
    }
    return job.spec().kind == wire::JobKind::Service ? Class::Service : Class::Other;
}

Scheduler::QueueKey Scheduler::keyOf(const ledger::Job &job)
{
    const auto seconds = static_cast<std::int64_t>(job.spec().deadlineSeconds);
    const std::int64_t deadline = seconds == 0 ? std::numeric_limits<std::int64_t>::max() : job.record().submittedAtMicros + seconds * microsPerSecond;
    return {-static_cast<std::int64_t>(job.spec().priority), deadline, job.id()};
}

void Scheduler::rebuild(ledger::Ledger &ledger)
{
    std::map<std::string, double> savedQuotas = std::move(this->quotas);
    *this = Scheduler();
    this->quotas = std::move(savedQuotas);
    ledger.drainChangedWorkers();
    ledger.drainChangedJobs();
    for (const std::uint64_t id : ledger.queuedJobs()) {
        this->updateJob(ledger, id);
    }
}

void Scheduler::setQuotas(std::map<std::string, double> quotaByPartner)
{
    this->quotas = std::move(quotaByPartner);
}

bool Scheduler::isOverQuota(const ledger::Job &job, const Resources &used, const Resources &capacity) const
{
    const auto quota = this->quotas.find(job.record().partner);
    if (quota == this->quotas.end()) {
        return false;
    }
    // All tasks of a gang count, because they are placed together.
    const std::size_t tasks = job.spec().kind == wire::JobKind::Gang ? job.tasks().size() : 1;
    Resources after = used;
    for (std::size_t task = 0; task < tasks; ++task) {
        after = ledger::plus(after, job.spec().resources);
    }
    return ledger::dominantShare(after, capacity) > quota->second;
}

std::vector<std::string> Scheduler::refresh(ledger::Ledger &ledger)
{
    std::vector<std::string> workers = ledger.drainChangedWorkers();
    for (const std::string &name : workers) {
        this->updateWorker(ledger, name);
    }
    for (const std::uint64_t id : ledger.drainChangedJobs()) {
        this->updateJob(ledger, id);
    }
    return workers;
}

void Scheduler::updateWorker(const ledger::Ledger &ledger, const std::string &name)
{
    const ledger::Worker *worker = ledger.findWorker(name);
    const auto known = this->reachable.find(name);
    if (worker == nullptr || worker->isDraining() || known == this->reachable.end() || !known->second) {
        this->index.remove(name);
        return;
    }
    this->index.set(name, worker->registration().rack, worker->available());
}

void Scheduler::updateJob(const ledger::Ledger &ledger, std::uint64_t id)
{
    const auto known = this->queuePositions.find(id);
    if (known != this->queuePositions.end()) {
        const auto &[jobClass, partner, key] = known->second;
        this->queues[jobClass][partner].erase(key);
        this->queuePositions.erase(known);
    }
    const ledger::Job *job = ledger.findJob(id);
    if (job == nullptr || job->count(wire::TaskState::Queued) == 0) {
        return;
    }
    const Class jobClass = classOf(*job);
    const QueueKey key = keyOf(*job);
    this->queues[jobClass][job->record().partner].insert(key);
    this->queuePositions.emplace(id, std::make_tuple(jobClass, job->record().partner, key));
}

void Scheduler::setReachable(const ledger::Ledger &ledger, const Reachable &isReachable)
{
    for (const auto &[name, worker] : ledger.workers()) {
        const bool isNowReachable = isReachable(name);
        const auto [found, isNew] = this->reachable.try_emplace(name, false);
        if (isNew || found->second != isNowReachable) {
            found->second = isNowReachable;
            this->updateWorker(ledger, name);
        }
    }
}

std::optional<wire::PlaceTasksT> Scheduler::decide(const ledger::Ledger &ledger, std::int64_t atMicros)
{
    if (this->queuePositions.empty() || this->index.size() == 0) {
        return std::nullopt;
    }
    Round round{ledger, atMicros, {}, 0, {}, {}, {}};
    round.capacity = capacityOf(ledger);
    for (const auto &[jobClass, byPartner] : this->queues) {
        for (const auto &[partner, queue] : byPartner) {
            round.used[partner] = ledger.reservedBy(partner);
        }
    }
    for (const Class jobClass : {Class::Urgent, Class::Service, Class::Other}) {
        this->placeClass(round, jobClass);
    }
    if (round.command.groups.empty()) {
        return std::nullopt;
    }
    return std::move(round.command);
}

void Scheduler::placeClass(Round &round, Class jobClass)
{
    struct Cursor {
        std::string partner;
        Queue::const_iterator next;
        Queue::const_iterator end;
        std::size_t skippedJobs = 0;
    };
    std::vector<Cursor> cursors;
    for (const auto &[partner, queue] : this->queues[jobClass]) {
        cursors.push_back({partner, queue.begin(), queue.end(), 0});
    }
    while (!round.isFull()) {
        Cursor *best = nullptr;
        double bestShare = 0;
        for (Cursor &cursor : cursors) {
            const double share = ledger::dominantShare(round.used[cursor.partner], round.capacity);
            const bool hasCandidateJob = cursor.next != cursor.end && cursor.skippedJobs < maxSkippedJobs;
            if (hasCandidateJob && (best == nullptr || share < bestShare)) {
                best = &cursor;
                bestShare = share;
            }
        }
        if (best == nullptr) {
            return;
        }
        const ledger::Job *job = round.ledger.findJob(std::get<2>(*best->next));
        ++best->next;
        if (!this->placeJob(round, *job)) {
            ++best->skippedJobs;
        }
    }
}

bool Scheduler::placeJob(Round &round, const ledger::Job &job)
{
    const std::size_t before = round.placed;
    if (round.isKnownUnplaceable(job.spec().resources) || this->isOverQuota(job, round.used[job.record().partner], round.capacity)) {
        return false;
    }
    switch (job.spec().kind) {
    case wire::JobKind::Service:
        this->placeSingly(round, job, SpreadingPolicy(round.ledger, job));
        break;
    case wire::JobKind::Batch:
        this->placeSingly(round, job, PackingPolicy());
        break;
    case wire::JobKind::Gang:
        this->placeGang(round, job);
        break;
    }
    return round.placed > before;
}

template<typename Policy>
void Scheduler::placeSingly(Round &round, const ledger::Job &job, Policy policy)
{
    for (const std::uint32_t task : job.placeable(round.atMicros)) {
        if (round.isFull() || this->isOverQuota(job, round.used[job.record().partner], round.capacity)) {
            return;
        }
        const Candidate *chosen = policy.choose(this->index, job.spec().resources);
        if (chosen == nullptr) {
            round.unplaceable.push_back(job.spec().resources);
            return;
        }
        auto group = std::make_unique<wire::PlacementGroupT>();
        group->placements.push_back(toPlacement(job, task, chosen->worker));
        round.command.groups.push_back(std::move(group));
        policy.recordChoice(*chosen);
        this->index.reserve(chosen->worker, job.spec().resources);
        round.countPlacement(job);
    }
}

void Scheduler::placeGang(Round &round, const ledger::Job &job)
{
    const std::vector<std::uint32_t> tasks = job.placeable(round.atMicros);
    auto group = std::make_unique<wire::PlacementGroupT>();
    for (const std::uint32_t task : tasks) {
        const Candidate *chosen = this->index.bestFit(job.spec().resources);
        if (chosen == nullptr) {
            break;
        }
        group->placements.push_back(toPlacement(job, task, chosen->worker));
        this->index.reserve(chosen->worker, job.spec().resources);
    }
    if (tasks.empty() || group->placements.size() < tasks.size()) {
        for (const std::unique_ptr<wire::PlacementT> &placement : group->placements) {
            this->index.release(placement->worker, job.spec().resources);
        }
        return;
    }
    for (std::size_t placed = 0; placed < tasks.size(); ++placed) {
        round.countPlacement(job);
    }
    round.command.groups.push_back(std::move(group));
}

wire::WaitReason Scheduler::explain(const ledger::Ledger &ledger, const ledger::Job &job, std::int64_t atMicros) const
{
    if (job.count(wire::TaskState::Stopping) > 0) {
        return wire::WaitReason::WaitingForStop;
    }
    if (job.count(wire::TaskState::Queued) == 0) {
        return wire::WaitReason::None;
    }
    if (ledger.workers().empty()) {
        return wire::WaitReason::NoWorker;
    }
    const bool fitsSomewhere = std::any_of(ledger.workers().begin(), ledger.workers().end(), [&job](const auto &entry) {
        return ledger::fits(job.spec().resources, entry.second.registration().capacity);
    });
    if (!fitsSomewhere) {
        return wire::WaitReason::LargerThanAnyWorker;
    }
    if (job.nextPlaceableAt() > atMicros) {
        return wire::WaitReason::Backoff;
    }
    if (this->index.size() == 0) {
        return wire::WaitReason::NoWorker;
    }
    if (this->isOverQuota(job, ledger.reservedBy(job.record().partner), capacityOf(ledger))) {
        return wire::WaitReason::OverQuota;
    }
    const bool isGang = job.spec().kind == wire::JobKind::Gang;
    return isGang && this->index.bestFit(job.spec().resources) != nullptr ? wire::WaitReason::WaitingForGang : wire::WaitReason::NoCapacity;
}

} // namespace paddlepier::scheduling
