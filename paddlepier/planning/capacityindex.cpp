// Index of the free capacity of each worker.

#include "paddlepier/planning/capacityindex.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>
#include <utility>

namespace paddlepier::planning
{

namespace
{

constexpr std::uint32_t noEntry = std::numeric_limits<std::uint32_t>::max();

/** Each plan reads one entry in this many without a known change, round-robin. */
constexpr std::size_t entriesPerRoundRobinRead = 128;

} // namespace

CapacityIndex::CapacityIndex(const workload::Workload &workloadState,
                             const execution::WorkerViews &workerViews,
                             const execution::RunTracks &runTracks,
                             AdviceCache &cache)
    : state(workloadState)
    , views(workerViews)
    , tracks(runTracks)
    , adviceCache(cache)
{
}

void CapacityIndex::markViewChanged(const workload::Incarnation &worker)
{
    this->changedViews.insert(worker);
}

void CapacityIndex::refresh(Timestamp now)
{
    this->shortages.clear();
    this->clearStep();
    this->isReleasingCounted = false;
    if (!this->readChanges(now)) {
        this->rebuild(now);
    }
    this->readRoundRobin(now);
    this->updateOverduePolicy(now);
}

void CapacityIndex::rebuild(Timestamp now)
{
    this->entries.clear();
    this->vacantEntries.clear();
    this->byWorker.clear();
    this->services.clear();
    this->spareServices.clear();
    this->modified.clear();
    this->changedViews.clear();
    this->withSuperseded.clear();
    this->overdueWorkers = 0;
    this->excludesOverdue = true;
    std::fill(this->byAdviceNumber.begin(), this->byAdviceNumber.end(), noEntry);
    std::set<std::string> names;
    for (const auto &[incarnation, worker] : this->state.workers()) {
        names.insert(worker.registration.zone);
    }
    this->dataCentres.assign(names.begin(), names.end());
    this->byDataCentre.assign(names.size(), {});
    this->usableWorkers.assign(names.size(), 0);
    this->entries.reserve(this->state.workers().size());
    for (const auto &[incarnation, worker] : this->state.workers()) {
        this->add(incarnation, worker, this->dataCentreNamed(worker.registration.zone));
        this->read(now, static_cast<std::uint32_t>(this->entries.size() - 1));
    }
    this->readUntil = this->state.workerChanges().end();
}

bool CapacityIndex::readChanges(Timestamp now)
{
    std::vector<workload::Incarnation> changed;
    const auto add = [&changed](const workload::Incarnation &incarnation) { changed.push_back(incarnation); };
    if (!this->state.workerChanges().visitSince(this->readUntil, add)) {
        return false;
    }
    this->readUntil = this->state.workerChanges().end();
    changed.insert(changed.end(), this->changedViews.begin(), this->changedViews.end());
    this->changedViews.clear();
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    for (const workload::Incarnation &incarnation : changed) {
        if (!this->read(now, incarnation)) {
            return false;
        }
    }
    // After the changes above, each entry that isn't vacant refers to a worker that still exists.
    for (const std::uint32_t number : std::exchange(this->modified, {})) {
        if (this->entries[number].record != nullptr) {
            this->read(now, number);
        }
    }
    while (const std::optional<std::uint32_t> number = this->refreshTimers.popExpired(now)) {
        if (*number < this->entries.size() && this->entries[*number].record != nullptr) {
            this->read(now, *number);
        }
    }
    return true;
}

void CapacityIndex::readRoundRobin(Timestamp now)
{
    const std::size_t count = this->entries.empty() ? 0 : 1 + this->entries.size() / entriesPerRoundRobinRead;
    for (std::size_t read = 0; read < count; ++read) {
        this->lastRoundRobin = (this->lastRoundRobin + 1) % this->entries.size();
        if (this->entries[this->lastRoundRobin].record != nullptr) {
            this->read(now, static_cast<std::uint32_t>(this->lastRoundRobin));
        }
    }
}

bool CapacityIndex::read(Timestamp now, const workload::Incarnation &incarnation)
{
    const auto worker = this->state.workers().find(incarnation);
    if (worker == this->state.workers().end()) {
        this->remove(incarnation);
        return true;
    }
    const std::uint32_t dataCentre = this->dataCentreNamed(worker->second.registration.zone);
    const auto known = this->byWorker.find(incarnation);
    const bool isMoved = known != this->byWorker.end() && this->entries[known->second].dataCentre != dataCentre;
    if (dataCentre == noDataCentre || isMoved) {
        return false;
    }
    if (known == this->byWorker.end()) {
        this->add(worker->first, worker->second, dataCentre);
    } else {
        // The same incarnation may have been removed and added again, which invalidates the pointers.
        this->entries[known->second].incarnationKey = &worker->first;
        this->entries[known->second].record = &worker->second;
        this->entries[known->second].view = nullptr;
    }
    this->read(now, this->byWorker.at(incarnation));
    return true;
}

void CapacityIndex::add(const workload::Incarnation &incarnation, const workload::Worker &worker, std::uint32_t dataCentre)
{
    auto number = static_cast<std::uint32_t>(this->entries.size());
    if (this->vacantEntries.empty()) {
        this->entries.emplace_back();
    } else {
        number = this->vacantEntries.back();
        this->vacantEntries.pop_back();
    }
    WorkerCapacity &entry = this->entries[number] = WorkerCapacity();
    entry.incarnationKey = &incarnation;
    entry.record = &worker;
    entry.dataCentre = dataCentre;
    entry.adviceNumber = this->adviceCache.numberOf(incarnation);
    this->byWorker[incarnation] = number;
    std::vector<std::uint32_t> &neighbours = this->byDataCentre[dataCentre];
    neighbours.insert(std::lower_bound(neighbours.begin(), neighbours.end(), number), number);
    if (entry.adviceNumber >= this->byAdviceNumber.size()) {
        this->byAdviceNumber.resize(entry.adviceNumber + 1, noEntry);
    }
    this->byAdviceNumber[entry.adviceNumber] = number;
}

void CapacityIndex::remove(const workload::Incarnation &incarnation)
{
    const auto known = this->byWorker.find(incarnation);
    if (known == this->byWorker.end()) {
        return;
    }
    const std::uint32_t number = known->second;
    WorkerCapacity &entry = this->entries[number];
    this->setUsable(entry, false);
    this->overdueWorkers -= entry.isOverdue ? 1 : 0;
    std::vector<std::uint32_t> &neighbours = this->byDataCentre[entry.dataCentre];
    neighbours.erase(std::lower_bound(neighbours.begin(), neighbours.end(), number));
    this->byAdviceNumber[entry.adviceNumber] = noEntry;
    this->withSuperseded.erase(number);
    this->byWorker.erase(known);
    entry = WorkerCapacity();
    this->vacantEntries.push_back(number);
}

void CapacityIndex::read(Timestamp now, std::uint32_t number)
{
    ++this->readCount;
    WorkerCapacity &entry = this->entries[number];
    if (entry.view == nullptr) {
        const auto view = this->views.find(*entry.incarnationKey);
        entry.view = view == this->views.end() ? nullptr : &view->second;
    }
    const workload::Worker &worker = *entry.record;
    const work::Demand &capacity = *worker.registration.capacity;
    entry.service = this->addService(worker.registration.service);
    entry.isSpare = this->spareServices[entry.service];
    entry.freeProcessors = worker.freeMilliProcessors();
    entry.freeMemory = static_cast<std::int64_t>(capacity.memoryMegabytes()) - static_cast<std::int64_t>(worker.reservedMemoryMegabytes);
    entry.freeAccelerators = static_cast<std::int64_t>(capacity.accelerators()) - static_cast<std::int64_t>(worker.reservedAccelerators);
    entry.releasingProcessors = 0;
    entry.suspectRuns = 0;
    entry.isIsolated = false;
    entry.isModified = false;
    entry.isOnProbation = entry.view != nullptr && entry.view->consecutiveFailures > 0 && entry.view->suspectUntil <= now;
    entry.testRuns = this->countTestRuns(now, entry);
    const bool isOverdue = entry.view != nullptr && entry.view->isOverdue(now);
    this->overdueWorkers += isOverdue ? 1 : 0;
    this->overdueWorkers -= std::exchange(entry.isOverdue, isOverdue) ? 1 : 0;
    if (worker.superseded.empty()) {
        this->withSuperseded.erase(number);
    } else {
        this->withSuperseded.insert(number);
    }
    this->setUsable(entry, this->isUsable(now, entry));
    const Timestamp change = entry.view == nullptr ? absl::InfiniteFuture() : entry.view->nextTimedChange(now);
    if (change < absl::InfiniteFuture()) {
        this->refreshTimers.schedule(number, change);
    }
}

bool CapacityIndex::isUsable(Timestamp now, const WorkerCapacity &entry) const
{
    return barOfWorker(now, this->state, *entry.record, entry.view, this->excludesOverdue) == StartBar::None;
}

StartBar CapacityIndex::startBar(Timestamp now, const workload::TaskKey &task, const workload::Incarnation &worker) const
{
    const workload::Worker &record = *this->state.findWorker(worker);
    const workload::Job &job = *this->state.findJob(task.job);
    const std::string &service = job.queue().service;
    const work::ServiceSpecT *spec = this->state.findService(service);
    const bool isSpare = spec != nullptr && spec->isSpare;
    const StartBar bar = barForStep(record, record.registration.service == service, isSpare, job.stepSpec(task.step));
    if (bar != StartBar::None) {
        return bar;
    }
    const auto view = this->views.find(worker);
    return barOfWorker(now, this->state, record, view == this->views.end() ? nullptr : &view->second, this->excludesOverdue);
}

std::int32_t CapacityIndex::countTestRuns(Timestamp now, const WorkerCapacity &entry) const
{
    if (!entry.isOnProbation) {
        return 0;
    }
    const std::set<workload::TaskKey> &runs = entry.record->runs;
    return static_cast<std::int32_t>(std::count_if(runs.begin(), runs.end(), [this, now, &entry](const workload::TaskKey &key) {
        const auto track = this->tracks.find(key);
        const bool isHere = track != this->tracks.end() && track->second.worker == *entry.incarnationKey;
        return isHere && track->second.placedAt >= entry.view->lastFailureAt && !track->second.isSettledAt(now);
    }));
}

void CapacityIndex::setUsable(WorkerCapacity &entry, bool isUsable)
{
    if (entry.isUsable != isUsable) {
        this->usableWorkers[entry.dataCentre] += isUsable ? 1U : -1U;
        entry.isUsable = isUsable;
    }
}

void CapacityIndex::updateOverduePolicy(Timestamp now)
{
    const bool isMinority = this->overdueWorkers * 2 < this->byWorker.size();
    if (this->excludesOverdue == isMinority) {
        return;
    }
    this->excludesOverdue = isMinority;
    for (WorkerCapacity &entry : this->entries) {
        if (entry.isOverdue) {
            this->setUsable(entry, this->isUsable(now, entry));
        }
    }
}

std::uint32_t CapacityIndex::addService(const std::string &name)
{
    const auto found = std::find(this->services.begin(), this->services.end(), name);
    if (found != this->services.end()) {
        return static_cast<std::uint32_t>(found - this->services.begin());
    }
    const work::ServiceSpecT *service = this->state.findService(name);
    this->services.push_back(name);
    this->spareServices.push_back(service != nullptr && service->isSpare);
    return static_cast<std::uint32_t>(this->services.size() - 1);
}

std::size_t CapacityIndex::usableCount() const
{
    return std::accumulate(this->usableWorkers.begin(), this->usableWorkers.end(), std::size_t{0});
}

std::uint64_t CapacityIndex::reads() const
{
    return this->readCount;
}

void CapacityIndex::markModified(WorkerCapacity &entry)
{
    if (!std::exchange(entry.isModified, true)) {
        this->modified.push_back(static_cast<std::uint32_t>(&entry - this->entries.data()));
    }
}

bool CapacityIndex::Shortage::covers(std::uint32_t serviceNumber, bool fills, const work::Demand &other) const
{
    return this->service == serviceNumber && this->isFilling == fills && (fills || other.milliProcessors() >= this->demand.milliProcessors())
           && other.memoryMegabytes() >= this->demand.memoryMegabytes() && other.accelerators() >= this->demand.accelerators();
}

bool CapacityIndex::hasCapacityFor(std::string_view service, const work::StepSpecT &step)
{
    const std::uint32_t number = this->serviceNumber(service);
    const auto covers = [&](const Shortage &shortage) { return shortage.covers(number, step.isFilling, *step.demand); };
    if (std::any_of(this->shortages.begin(), this->shortages.end(), covers)) {
        return false;
    }
    const auto fits = [&](const WorkerCapacity &entry) {
        return entry.isUsable && entry.service == number && !entry.isSpare && entry.fits(step) && isAcceptable(entry);
    };
    if (this->lastFitting < this->entries.size() && fits(this->entries[this->lastFitting])) {
        return true;
    }
    const auto found = std::find_if(this->entries.begin(), this->entries.end(), fits);
    if (found != this->entries.end()) {
        this->lastFitting = static_cast<std::uint32_t>(found - this->entries.begin());
        return true;
    }
    const Shortage shortage{number, step.isFilling, *step.demand};
    std::erase_if(this->shortages, [&shortage](const Shortage &larger) { return shortage.covers(larger.service, larger.isFilling, larger.demand); });
    this->shortages.push_back(shortage);
    return false;
}

void CapacityIndex::countReleasing()
{
    if (std::exchange(this->isReleasingCounted, true)) {
        return;
    }
    for (const auto &[key, track] : this->tracks) {
        WorkerCapacity *entry = track.phase == execution::RunPhase::Stopping ? this->find(track.worker) : nullptr;
        if (entry != nullptr && entry->record->runs.contains(key)) {
            const work::StepSpecT &step = this->state.findJob(key.job)->stepSpec(key.step);
            this->markModified(*entry);
            entry->releasingProcessors += step.isFilling ? 0 : step.demand->milliProcessors();
        }
    }
}

void CapacityIndex::beginStep(Timestamp now, const PendingStep &pending)
{
    this->clearStep();
    this->countTasks(pending);
    if (pending.job->queue().advice) {
        this->adviceCache.visitStatuses(now, pending.key, [this](std::uint32_t adviceNumber, AdviceStatus standing) {
            if (WorkerCapacity *entry = this->findByAdviceNumber(adviceNumber)) {
                entry->adviceStatus = standing;
                this->advisedForStep.push_back(static_cast<std::uint32_t>(entry - this->entries.data()));
            }
        });
        std::sort(this->advisedForStep.begin(), this->advisedForStep.end());
    }
}

void CapacityIndex::clearStep()
{
    for (const std::uint32_t number : this->countedForStep) {
        this->entries[number].stepTasks = 0;
        this->entries[number].isCountedForStep = false;
    }
    for (const std::uint32_t number : this->advisedForStep) {
        this->entries[number].adviceStatus = AdviceStatus::NotRequested;
    }
    this->countedForStep.clear();
    this->advisedForStep.clear();
}

void CapacityIndex::countTasks(const PendingStep &pending)
{
    if (pending.progress->runningTasks > 0) {
        for (const workload::Task &task : pending.progress->tasks) {
            WorkerCapacity *entry = task.hasRun() ? this->find(task.worker) : nullptr;
            if (entry != nullptr) {
                this->countTask(*entry, 1);
            }
        }
    }
    if (!pending.step->mayRunCopies || pending.step->mostPerWorker == 0) {
        return;
    }
    // Superseded runs may still execute on their workers and count towards the step's limit per worker.
    const workload::TaskKey first(pending.key.job, pending.key.occurrence, pending.key.step, 0);
    for (const std::uint32_t number : this->withSuperseded) {
        if (!this->entries[number].isUsable) {
            continue;
        }
        const auto &superseded = this->entries[number].record->superseded;
        for (auto run = superseded.lower_bound(first); run != superseded.end() && run->first.stepKey() == pending.key; ++run) {
            this->countTask(this->entries[number], 1);
        }
    }
}

std::uint32_t CapacityIndex::dataCentreOfStep() const
{
    if (this->countedForStep.empty()) {
        return noDataCentre;
    }
    std::vector<std::uint32_t> tasks(this->dataCentres.size());
    for (const std::uint32_t number : this->countedForStep) {
        tasks[this->entries[number].dataCentre] += this->entries[number].stepTasks;
    }
    return static_cast<std::uint32_t>(std::max_element(tasks.begin(), tasks.end()) - tasks.begin());
}

std::uint32_t CapacityIndex::dataCentreNamed(std::string_view name) const
{
    const auto found = std::lower_bound(this->dataCentres.begin(), this->dataCentres.end(), name);
    return found == this->dataCentres.end() || *found != name ? noDataCentre : static_cast<std::uint32_t>(found - this->dataCentres.begin());
}

std::uint32_t CapacityIndex::dataCentreOfRack(std::string_view rack) const
{
    const auto found = rack.empty() ? this->entries.end() : std::find_if(this->entries.begin(), this->entries.end(), [rack](const WorkerCapacity &entry) {
        return entry.isUsable && entry.rack() == rack;
    });
    return found == this->entries.end() ? noDataCentre : found->dataCentre;
}

std::string_view CapacityIndex::dataCentreName(std::uint32_t dataCentre) const
{
    return this->dataCentres.at(dataCentre);
}

bool CapacityIndex::isHealthy(std::uint32_t dataCentre) const
{
    return dataCentre != noDataCentre && std::size_t{this->usableWorkers[dataCentre]} * 2 >= this->byDataCentre[dataCentre].size();
}

std::vector<std::int64_t> CapacityIndex::slotsFor(const PendingStep &pending) const
{
    const std::uint32_t service = this->serviceNumber(pending.job->queue().service);
    std::vector<std::int64_t> slots(this->dataCentres.size());
    for (const WorkerCapacity &entry : this->entries) {
        if (entry.fits(*pending.step) && mayRun(entry, pending, service) && isAcceptable(entry)) {
            const std::size_t bound = pending.step->mostPerWorker == 0 ? std::numeric_limits<std::size_t>::max() : pending.step->mostPerWorker;
            slots[entry.dataCentre] += static_cast<std::int64_t>(std::min(entry.tasksThatFit(*pending.step), bound));
        }
    }
    return slots;
}

std::vector<WorkerCapacity> &CapacityIndex::all()
{
    return this->entries;
}

const std::vector<std::uint32_t> &CapacityIndex::advisedWorkers() const
{
    return this->advisedForStep;
}

WorkerCapacity *CapacityIndex::find(const workload::Incarnation &worker)
{
    const auto found = this->byWorker.find(worker);
    return found == this->byWorker.end() || !this->entries[found->second].isUsable ? nullptr : &this->entries[found->second];
}

WorkerCapacity *CapacityIndex::findByAdviceNumber(std::uint32_t adviceNumber)
{
    const std::uint32_t number = adviceNumber < this->byAdviceNumber.size() ? this->byAdviceNumber[adviceNumber] : noEntry;
    return number == noEntry || !this->entries[number].isUsable ? nullptr : &this->entries[number];
}

void CapacityIndex::reserve(WorkerCapacity &entry, const work::StepSpecT &step, std::int64_t tasks)
{
    this->markModified(entry);
    entry.reserve(step, tasks);
}

void CapacityIndex::countTask(WorkerCapacity &entry, std::int32_t tasks)
{
    this->markModified(entry);
    entry.stepTasks += static_cast<std::uint32_t>(tasks);
    if (!std::exchange(entry.isCountedForStep, true)) {
        this->countedForStep.push_back(static_cast<std::uint32_t>(&entry - this->entries.data()));
    }
}

std::uint32_t CapacityIndex::serviceNumber(std::string_view service) const
{
    return static_cast<std::uint32_t>(std::find(this->services.begin(), this->services.end(), service) - this->services.begin());
}

} // namespace paddlepier::planning
