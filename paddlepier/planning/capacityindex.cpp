// The workers that a plan may use.

#include "paddlepier/planning/capacityindex.h"

#include "paddlepier/planning/eligibility.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>
#include <utility>

namespace paddlepier::planning
{

namespace
{

constexpr std::uint32_t noRoom = std::numeric_limits<std::uint32_t>::max();

/** Each plan reads one room of so many that nothing is known to have happened to. */
constexpr std::size_t roomsPerReadInTurn = 128;

} // namespace

CapacityIndex::CapacityIndex(const workload::Workload &workloadState, const execution::WorkerViews &workerViews, AdviceCache &adviceBook)
    : state(workloadState)
    , views(workerViews)
    , adviceCache(adviceBook)
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
    std::fill(this->byAdviceNumber.begin(), this->byAdviceNumber.end(), noRoom);
    std::set<std::string> names;
    for (const auto &[life, worker] : this->state.workers()) {
        names.insert(worker.registration.zone);
    }
    this->dataCentres.assign(names.begin(), names.end());
    this->byDataCentre.assign(names.size(), {});
    this->usableWorkers.assign(names.size(), 0);
    this->entries.reserve(this->state.workers().size());
    for (const auto &[life, worker] : this->state.workers()) {
        this->add(life, worker, this->dataCentreNamed(worker.registration.zone));
        this->read(now, static_cast<std::uint32_t>(this->entries.size() - 1));
    }
    this->readUntil = this->state.workerChanges().end();
}

bool CapacityIndex::readChanges(Timestamp now)
{
    std::vector<workload::Incarnation> changed;
    const auto note = [&changed](const workload::Incarnation &life) { changed.push_back(life); };
    if (!this->state.workerChanges().visitSince(this->readUntil, note)) {
        return false;
    }
    this->readUntil = this->state.workerChanges().end();
    changed.insert(changed.end(), this->changedViews.begin(), this->changedViews.end());
    this->changedViews.clear();
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    for (const workload::Incarnation &life : changed) {
        if (!this->read(now, life)) {
            return false;
        }
    }
    // All that is left has its worker still.
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
    const std::size_t count = this->entries.empty() ? 0 : 1 + this->entries.size() / roomsPerReadInTurn;
    for (std::size_t read = 0; read < count; ++read) {
        this->nextRoundRobin = (this->nextRoundRobin + 1) % this->entries.size();
        if (this->entries[this->nextRoundRobin].record != nullptr) {
            this->read(now, static_cast<std::uint32_t>(this->nextRoundRobin));
        }
    }
}

bool CapacityIndex::read(Timestamp now, const workload::Incarnation &life)
{
    const auto worker = this->state.workers().find(life);
    if (worker == this->state.workers().end()) {
        this->remove(life);
        return true;
    }
    const std::uint32_t dataCentre = this->dataCentreNamed(worker->second.registration.zone);
    const auto known = this->byWorker.find(life);
    const bool isMoved = known != this->byWorker.end() && this->entries[known->second].dataCentre != dataCentre;
    if (dataCentre == noDataCentre || isMoved) {
        return false;
    }
    if (known == this->byWorker.end()) {
        this->add(worker->first, worker->second, dataCentre);
    } else {
        // The same life may have gone and come.
        this->entries[known->second].incarnationKey = &worker->first;
        this->entries[known->second].record = &worker->second;
        this->entries[known->second].view = nullptr;
    }
    this->read(now, this->byWorker.at(life));
    return true;
}

void CapacityIndex::add(const workload::Incarnation &life, const workload::Worker &worker, std::uint32_t dataCentre)
{
    auto number = static_cast<std::uint32_t>(this->entries.size());
    if (this->vacantEntries.empty()) {
        this->entries.emplace_back();
    } else {
        number = this->vacantEntries.back();
        this->vacantEntries.pop_back();
    }
    WorkerCapacity &room = this->entries[number] = WorkerCapacity();
    room.incarnationKey = &life;
    room.record = &worker;
    room.dataCentre = dataCentre;
    room.adviceNumber = this->adviceCache.numberOf(life);
    this->byWorker[life] = number;
    std::vector<std::uint32_t> &neighbours = this->byDataCentre[dataCentre];
    neighbours.insert(std::lower_bound(neighbours.begin(), neighbours.end(), number), number);
    if (room.adviceNumber >= this->byAdviceNumber.size()) {
        this->byAdviceNumber.resize(room.adviceNumber + 1, noRoom);
    }
    this->byAdviceNumber[room.adviceNumber] = number;
}

void CapacityIndex::remove(const workload::Incarnation &life)
{
    const auto known = this->byWorker.find(life);
    if (known == this->byWorker.end()) {
        return;
    }
    const std::uint32_t number = known->second;
    WorkerCapacity &room = this->entries[number];
    this->setUsable(room, false);
    this->overdueWorkers -= room.isOverdue ? 1 : 0;
    std::vector<std::uint32_t> &neighbours = this->byDataCentre[room.dataCentre];
    neighbours.erase(std::lower_bound(neighbours.begin(), neighbours.end(), number));
    this->byAdviceNumber[room.adviceNumber] = noRoom;
    this->withSuperseded.erase(number);
    this->byWorker.erase(known);
    room = WorkerCapacity();
    this->vacantEntries.push_back(number);
}

void CapacityIndex::read(Timestamp now, std::uint32_t number)
{
    ++this->readCount;
    WorkerCapacity &room = this->entries[number];
    if (room.view == nullptr) {
        const auto view = this->views.find(*room.incarnationKey);
        room.view = view == this->views.end() ? nullptr : &view->second;
    }
    const workload::Worker &worker = *room.record;
    const work::Demand &capacity = *worker.registration.capacity;
    room.service = this->addService(worker.registration.service);
    room.isSpare = this->spareServices[room.service];
    room.freeProcessors = worker.freeMilliProcessors();
    room.freeMemory = static_cast<std::int64_t>(capacity.memoryMegabytes()) - static_cast<std::int64_t>(worker.reservedMemoryMegabytes);
    room.freeAccelerators = static_cast<std::int64_t>(capacity.accelerators()) - static_cast<std::int64_t>(worker.reservedAccelerators);
    room.releasingProcessors = 0;
    room.suspectRuns = 0;
    room.isIsolated = false;
    room.isModified = false;
    room.isOnProbation = room.view != nullptr && room.view->consecutiveFailures > 0 && room.view->suspectUntil <= now;
    const bool isOverdue = room.view != nullptr && room.view->isOverdue(now);
    this->overdueWorkers += isOverdue ? 1 : 0;
    this->overdueWorkers -= std::exchange(room.isOverdue, isOverdue) ? 1 : 0;
    if (worker.superseded.empty()) {
        this->withSuperseded.erase(number);
    } else {
        this->withSuperseded.insert(number);
    }
    this->setUsable(room, this->isUsable(now, room));
    const Timestamp change = room.view == nullptr ? absl::InfiniteFuture() : room.view->nextTimedChange(now);
    if (change < absl::InfiniteFuture()) {
        this->refreshTimers.schedule(number, change);
    }
}

bool CapacityIndex::isUsable(Timestamp now, const WorkerCapacity &room) const
{
    return room.view != nullptr && room.view->isReachable() && !room.record->registration.isDraining && room.view->startsBlockedUntil <= now
           && !(this->excludesOverdue && room.isOverdue) && !this->state.isEvacuated(*room.record);
}

void CapacityIndex::setUsable(WorkerCapacity &room, bool isUsable)
{
    if (room.isUsable != isUsable) {
        this->usableWorkers[room.dataCentre] += isUsable ? 1U : -1U;
        room.isUsable = isUsable;
    }
}

void CapacityIndex::updateOverduePolicy(Timestamp now)
{
    const bool isMinority = this->overdueWorkers * 2 < this->byWorker.size();
    if (this->excludesOverdue == isMinority) {
        return;
    }
    this->excludesOverdue = isMinority;
    for (WorkerCapacity &room : this->entries) {
        if (room.isOverdue) {
            this->setUsable(room, this->isUsable(now, room));
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

void CapacityIndex::markModified(WorkerCapacity &room)
{
    if (!std::exchange(room.isModified, true)) {
        this->modified.push_back(static_cast<std::uint32_t>(&room - this->entries.data()));
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
    const auto fits = [&](const WorkerCapacity &room) {
        return room.isUsable && room.service == number && !room.isSpare && room.fits(step) && isAcceptable(room);
    };
    if (this->lastFitting < this->entries.size() && fits(this->entries[this->lastFitting])) {
        return true;
    }
    const auto found = std::find_if(this->entries.begin(), this->entries.end(), fits);
    if (found != this->entries.end()) {
        this->lastFitting = static_cast<std::uint32_t>(found - this->entries.begin());
        return true;
    }
    const Shortage made{number, step.isFilling, *step.demand};
    std::erase_if(this->shortages, [&made](const Shortage &larger) { return made.covers(larger.service, larger.isFilling, larger.demand); });
    this->shortages.push_back(made);
    return false;
}

void CapacityIndex::countReleasing(const execution::RunTracks &tracks)
{
    if (std::exchange(this->isReleasingCounted, true)) {
        return;
    }
    for (const auto &[key, track] : tracks) {
        WorkerCapacity *room = track.phase == execution::RunPhase::Stopping ? this->find(track.worker) : nullptr;
        if (room != nullptr && room->record->runs.contains(key)) {
            const work::StepSpecT &step = this->state.findJob(key.job)->stepSpec(key.step);
            this->markModified(*room);
            room->releasingProcessors += step.isFilling ? 0 : step.demand->milliProcessors();
        }
    }
}

void CapacityIndex::beginStep(Timestamp now, const PendingStep &wanted)
{
    this->clearStep();
    this->countTasks(wanted);
    if (wanted.job->queue().advice) {
        this->adviceCache.visitStatuses(now, wanted.key, [this](std::uint32_t adviceNumber, AdviceStatus standing) {
            if (WorkerCapacity *room = this->findByAdviceNumber(adviceNumber)) {
                room->adviceStatus = standing;
                this->advisedForStep.push_back(static_cast<std::uint32_t>(room - this->entries.data()));
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

void CapacityIndex::countTasks(const PendingStep &wanted)
{
    if (wanted.progress->runningTasks > 0) {
        for (const workload::Task &task : wanted.progress->tasks) {
            WorkerCapacity *room = task.hasRun() ? this->find(task.worker) : nullptr;
            if (room != nullptr) {
                this->countTask(*room, 1);
            }
        }
    }
    if (!wanted.step->mayRunCopies || wanted.step->mostPerWorker == 0) {
        return;
    }
    // Superseded runs may still be on their workers, and count towards the step's bound there.
    const workload::TaskKey first(wanted.key.job, wanted.key.occurrence, wanted.key.step, 0);
    for (const std::uint32_t number : this->withSuperseded) {
        if (!this->entries[number].isUsable) {
            continue;
        }
        const auto &superseded = this->entries[number].record->superseded;
        for (auto run = superseded.lower_bound(first); run != superseded.end() && run->first.stepKey() == wanted.key; ++run) {
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
    const auto found = rack.empty() ? this->entries.end() : std::find_if(this->entries.begin(), this->entries.end(), [rack](const WorkerCapacity &room) {
        return room.isUsable && room.rack() == rack;
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

std::vector<std::int64_t> CapacityIndex::slotsFor(const PendingStep &wanted) const
{
    const std::uint32_t service = this->serviceNumber(wanted.job->queue().service);
    std::vector<std::int64_t> slots(this->dataCentres.size());
    for (const WorkerCapacity &room : this->entries) {
        if (room.fits(*wanted.step) && mayRun(room, wanted, service) && isAcceptable(room)) {
            const std::size_t bound = wanted.step->mostPerWorker == 0 ? std::numeric_limits<std::size_t>::max() : wanted.step->mostPerWorker;
            slots[room.dataCentre] += static_cast<std::int64_t>(std::min(room.tasksThatFit(*wanted.step), bound));
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
    const std::uint32_t number = adviceNumber < this->byAdviceNumber.size() ? this->byAdviceNumber[adviceNumber] : noRoom;
    return number == noRoom || !this->entries[number].isUsable ? nullptr : &this->entries[number];
}

void CapacityIndex::reserve(WorkerCapacity &room, const work::StepSpecT &step, std::int64_t tasks)
{
    this->markModified(room);
    room.reserve(step, tasks);
}

void CapacityIndex::countTask(WorkerCapacity &room, std::int32_t tasks)
{
    this->markModified(room);
    room.stepTasks += static_cast<std::uint32_t>(tasks);
    if (!std::exchange(room.isCountedForStep, true)) {
        this->countedForStep.push_back(static_cast<std::uint32_t>(&room - this->entries.data()));
    }
}

std::uint32_t CapacityIndex::serviceNumber(std::string_view service) const
{
    return static_cast<std::uint32_t>(std::find(this->services.begin(), this->services.end(), service) - this->services.begin());
}

} // namespace paddlepier::planning
