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

Rooms::Rooms(const workload::Workload &workloadState, const execution::WorkerViews &workerViews, AdviceBook &adviceBook)
    : state(workloadState)
    , views(workerViews)
    , advice(adviceBook)
{
}

void Rooms::noteView(const workload::Life &worker)
{
    this->changedViews.insert(worker);
}

void Rooms::collect(Timestamp now)
{
    this->shortages.clear();
    this->forgetStep();
    this->isComingCounted = false;
    if (!this->readChanges(now)) {
        this->rebuild(now);
    }
    this->readInTurn(now);
    this->judgeOverdue(now);
}

void Rooms::rebuild(Timestamp now)
{
    this->rooms.clear();
    this->emptyRooms.clear();
    this->byWorker.clear();
    this->services.clear();
    this->spareServices.clear();
    this->touched.clear();
    this->changedViews.clear();
    this->withSuperseded.clear();
    this->overdueWorkers = 0;
    this->mayAvoidOverdue = true;
    std::fill(this->byAdviceNumber.begin(), this->byAdviceNumber.end(), noRoom);
    std::set<std::string> names;
    for (const auto &[life, worker] : this->state.workers()) {
        names.insert(worker.registration.zone);
    }
    this->dataCentres.assign(names.begin(), names.end());
    this->byDataCentre.assign(names.size(), {});
    this->usableWorkers.assign(names.size(), 0);
    this->rooms.reserve(this->state.workers().size());
    for (const auto &[life, worker] : this->state.workers()) {
        this->add(life, worker, this->dataCentreNamed(worker.registration.zone));
        this->read(now, static_cast<std::uint32_t>(this->rooms.size() - 1));
    }
    this->readUntil = this->state.workerChanges().end();
}

bool Rooms::readChanges(Timestamp now)
{
    std::vector<workload::Life> changed;
    const auto note = [&changed](const workload::Life &life) { changed.push_back(life); };
    if (!this->state.workerChanges().visitSince(this->readUntil, note)) {
        return false;
    }
    this->readUntil = this->state.workerChanges().end();
    changed.insert(changed.end(), this->changedViews.begin(), this->changedViews.end());
    this->changedViews.clear();
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    for (const workload::Life &life : changed) {
        if (!this->read(now, life)) {
            return false;
        }
    }
    // All that is left has its worker still.
    for (const std::uint32_t number : std::exchange(this->touched, {})) {
        if (this->rooms[number].worker != nullptr) {
            this->read(now, number);
        }
    }
    while (const std::optional<std::uint32_t> number = this->dueRooms.take(now)) {
        if (*number < this->rooms.size() && this->rooms[*number].worker != nullptr) {
            this->read(now, *number);
        }
    }
    return true;
}

void Rooms::readInTurn(Timestamp now)
{
    const std::size_t count = this->rooms.empty() ? 0 : 1 + this->rooms.size() / roomsPerReadInTurn;
    for (std::size_t read = 0; read < count; ++read) {
        this->nextInTurn = (this->nextInTurn + 1) % this->rooms.size();
        if (this->rooms[this->nextInTurn].worker != nullptr) {
            this->read(now, static_cast<std::uint32_t>(this->nextInTurn));
        }
    }
}

bool Rooms::read(Timestamp now, const workload::Life &life)
{
    const auto worker = this->state.workers().find(life);
    if (worker == this->state.workers().end()) {
        this->remove(life);
        return true;
    }
    const std::uint32_t dataCentre = this->dataCentreNamed(worker->second.registration.zone);
    const auto known = this->byWorker.find(life);
    const bool isMoved = known != this->byWorker.end() && this->rooms[known->second].dataCentre != dataCentre;
    if (dataCentre == noHome || isMoved) {
        return false;
    }
    if (known == this->byWorker.end()) {
        this->add(worker->first, worker->second, dataCentre);
    } else {
        // The same life may have gone and come.
        this->rooms[known->second].lifeOfWorker = &worker->first;
        this->rooms[known->second].worker = &worker->second;
        this->rooms[known->second].view = nullptr;
    }
    this->read(now, this->byWorker.at(life));
    return true;
}

void Rooms::add(const workload::Life &life, const workload::Worker &worker, std::uint32_t dataCentre)
{
    auto number = static_cast<std::uint32_t>(this->rooms.size());
    if (this->emptyRooms.empty()) {
        this->rooms.emplace_back();
    } else {
        number = this->emptyRooms.back();
        this->emptyRooms.pop_back();
    }
    Room &room = this->rooms[number] = Room();
    room.lifeOfWorker = &life;
    room.worker = &worker;
    room.dataCentre = dataCentre;
    room.adviceNumber = this->advice.numberOf(life);
    this->byWorker[life] = number;
    std::vector<std::uint32_t> &neighbours = this->byDataCentre[dataCentre];
    neighbours.insert(std::lower_bound(neighbours.begin(), neighbours.end(), number), number);
    if (room.adviceNumber >= this->byAdviceNumber.size()) {
        this->byAdviceNumber.resize(room.adviceNumber + 1, noRoom);
    }
    this->byAdviceNumber[room.adviceNumber] = number;
}

void Rooms::remove(const workload::Life &life)
{
    const auto known = this->byWorker.find(life);
    if (known == this->byWorker.end()) {
        return;
    }
    const std::uint32_t number = known->second;
    Room &room = this->rooms[number];
    this->setUsable(room, false);
    this->overdueWorkers -= room.isOverdue ? 1 : 0;
    std::vector<std::uint32_t> &neighbours = this->byDataCentre[room.dataCentre];
    neighbours.erase(std::lower_bound(neighbours.begin(), neighbours.end(), number));
    this->byAdviceNumber[room.adviceNumber] = noRoom;
    this->withSuperseded.erase(number);
    this->byWorker.erase(known);
    room = Room();
    this->emptyRooms.push_back(number);
}

void Rooms::read(Timestamp now, std::uint32_t number)
{
    ++this->readCount;
    Room &room = this->rooms[number];
    if (room.view == nullptr) {
        const auto view = this->views.find(*room.lifeOfWorker);
        room.view = view == this->views.end() ? nullptr : &view->second;
    }
    const workload::Worker &worker = *room.worker;
    const work::Demand &capacity = *worker.registration.capacity;
    room.service = this->numberOfService(worker.registration.service);
    room.isSpare = this->spareServices[room.service];
    room.processors = worker.freeMilliProcessors();
    room.memory = static_cast<std::int64_t>(capacity.memoryMegabytes()) - static_cast<std::int64_t>(worker.reservedMemoryMegabytes);
    room.accelerators = static_cast<std::int64_t>(capacity.accelerators()) - static_cast<std::int64_t>(worker.reservedAccelerators);
    room.comingProcessors = 0;
    room.suspects = 0;
    room.isKeptApart = false;
    room.isTouched = false;
    room.isOnProbation = room.view != nullptr && room.view->failedInRow > 0 && room.view->suspectUntil <= now;
    const bool isOverdue = room.view != nullptr && room.view->isOverdue(now);
    this->overdueWorkers += isOverdue ? 1 : 0;
    this->overdueWorkers -= std::exchange(room.isOverdue, isOverdue) ? 1 : 0;
    if (worker.superseded.empty()) {
        this->withSuperseded.erase(number);
    } else {
        this->withSuperseded.insert(number);
    }
    this->setUsable(room, this->isUsable(now, room));
    const Timestamp change = room.view == nullptr ? absl::InfiniteFuture() : room.view->nextChange(now);
    if (change < absl::InfiniteFuture()) {
        this->dueRooms.set(number, change);
    }
}

bool Rooms::isUsable(Timestamp now, const Room &room) const
{
    return room.view != nullptr && room.view->isReachable() && !room.worker->registration.isDraining && room.view->startsBlockedUntil <= now
           && !(this->mayAvoidOverdue && room.isOverdue) && !this->state.isEvacuated(*room.worker);
}

void Rooms::setUsable(Room &room, bool isUsable)
{
    if (room.isUsable != isUsable) {
        this->usableWorkers[room.dataCentre] += isUsable ? 1U : -1U;
        room.isUsable = isUsable;
    }
}

void Rooms::judgeOverdue(Timestamp now)
{
    const bool isMinority = this->overdueWorkers * 2 < this->byWorker.size();
    if (this->mayAvoidOverdue == isMinority) {
        return;
    }
    this->mayAvoidOverdue = isMinority;
    for (Room &room : this->rooms) {
        if (room.isOverdue) {
            this->setUsable(room, this->isUsable(now, room));
        }
    }
}

std::uint32_t Rooms::numberOfService(const std::string &name)
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

std::size_t Rooms::usableCount() const
{
    return std::accumulate(this->usableWorkers.begin(), this->usableWorkers.end(), std::size_t{0});
}

std::uint64_t Rooms::reads() const
{
    return this->readCount;
}

void Rooms::touch(Room &room)
{
    if (!std::exchange(room.isTouched, true)) {
        this->touched.push_back(static_cast<std::uint32_t>(&room - this->rooms.data()));
    }
}

bool Rooms::Shortage::covers(std::uint32_t serviceNumber, bool fills, const work::Demand &other) const
{
    return this->service == serviceNumber && this->isFilling == fills && (fills || other.milliProcessors() >= this->demand.milliProcessors())
           && other.memoryMegabytes() >= this->demand.memoryMegabytes() && other.accelerators() >= this->demand.accelerators();
}

bool Rooms::hasRoomFor(std::string_view service, const work::StepSpecT &step)
{
    const std::uint32_t number = this->serviceNumber(service);
    const auto covers = [&](const Shortage &shortage) { return shortage.covers(number, step.isFilling, *step.demand); };
    if (std::any_of(this->shortages.begin(), this->shortages.end(), covers)) {
        return false;
    }
    const auto fits = [&](const Room &room) { return room.isUsable && room.service == number && !room.isSpare && room.fits(step) && isAcceptable(room); };
    if (this->lastFit < this->rooms.size() && fits(this->rooms[this->lastFit])) {
        return true;
    }
    const auto found = std::find_if(this->rooms.begin(), this->rooms.end(), fits);
    if (found != this->rooms.end()) {
        this->lastFit = static_cast<std::uint32_t>(found - this->rooms.begin());
        return true;
    }
    const Shortage made{number, step.isFilling, *step.demand};
    std::erase_if(this->shortages, [&made](const Shortage &larger) { return made.covers(larger.service, larger.isFilling, larger.demand); });
    this->shortages.push_back(made);
    return false;
}

void Rooms::countComing(const execution::RunTracks &tracks)
{
    if (std::exchange(this->isComingCounted, true)) {
        return;
    }
    for (const auto &[key, track] : tracks) {
        Room *room = track.phase == execution::RunPhase::Stopping ? this->find(track.worker) : nullptr;
        if (room != nullptr && room->worker->runs.contains(key)) {
            const work::StepSpecT &step = this->state.findJob(key.job)->stepSpec(key.step);
            this->touch(*room);
            room->comingProcessors += step.isFilling ? 0 : step.demand->milliProcessors();
        }
    }
}

void Rooms::beginStep(Timestamp now, const WantedStep &wanted)
{
    this->forgetStep();
    this->countTasks(wanted);
    if (wanted.job->queue().advice) {
        this->advice.visitStandings(now, wanted.key, [this](std::uint32_t adviceNumber, Standing standing) {
            if (Room *room = this->findAdvised(adviceNumber)) {
                room->standing = standing;
                this->toldOfStep.push_back(static_cast<std::uint32_t>(room - this->rooms.data()));
            }
        });
        std::sort(this->toldOfStep.begin(), this->toldOfStep.end());
    }
}

void Rooms::forgetStep()
{
    for (const std::uint32_t number : this->ofStep) {
        this->rooms[number].stepTasks = 0;
        this->rooms[number].isOfStep = false;
    }
    for (const std::uint32_t number : this->toldOfStep) {
        this->rooms[number].standing = Standing::Unasked;
    }
    this->ofStep.clear();
    this->toldOfStep.clear();
}

void Rooms::countTasks(const WantedStep &wanted)
{
    if (wanted.progress->runningTasks > 0) {
        for (const workload::Task &task : wanted.progress->tasks) {
            Room *room = task.hasRun() ? this->find(task.worker) : nullptr;
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
        if (!this->rooms[number].isUsable) {
            continue;
        }
        const auto &superseded = this->rooms[number].worker->superseded;
        for (auto run = superseded.lower_bound(first); run != superseded.end() && run->first.stepKey() == wanted.key; ++run) {
            this->countTask(this->rooms[number], 1);
        }
    }
}

std::uint32_t Rooms::dataCentreOfStep() const
{
    if (this->ofStep.empty()) {
        return noHome;
    }
    std::vector<std::uint32_t> tasks(this->dataCentres.size());
    for (const std::uint32_t number : this->ofStep) {
        tasks[this->rooms[number].dataCentre] += this->rooms[number].stepTasks;
    }
    return static_cast<std::uint32_t>(std::max_element(tasks.begin(), tasks.end()) - tasks.begin());
}

std::uint32_t Rooms::dataCentreNamed(std::string_view name) const
{
    const auto found = std::lower_bound(this->dataCentres.begin(), this->dataCentres.end(), name);
    return found == this->dataCentres.end() || *found != name ? noHome : static_cast<std::uint32_t>(found - this->dataCentres.begin());
}

std::uint32_t Rooms::dataCentreOfRack(std::string_view rack) const
{
    const auto found = rack.empty()
                           ? this->rooms.end()
                           : std::find_if(this->rooms.begin(), this->rooms.end(), [rack](const Room &room) { return room.isUsable && room.rack() == rack; });
    return found == this->rooms.end() ? noHome : found->dataCentre;
}

std::string_view Rooms::dataCentreName(std::uint32_t dataCentre) const
{
    return this->dataCentres.at(dataCentre);
}

bool Rooms::isSound(std::uint32_t dataCentre) const
{
    return dataCentre != noHome && std::size_t{this->usableWorkers[dataCentre]} * 2 >= this->byDataCentre[dataCentre].size();
}

std::vector<std::int64_t> Rooms::slotsFor(const WantedStep &wanted) const
{
    const std::uint32_t service = this->serviceNumber(wanted.job->queue().service);
    std::vector<std::int64_t> slots(this->dataCentres.size());
    for (const Room &room : this->rooms) {
        if (room.fits(*wanted.step) && mayRun(room, wanted, service) && isAcceptable(room)) {
            const std::size_t bound = wanted.step->mostPerWorker == 0 ? std::numeric_limits<std::size_t>::max() : wanted.step->mostPerWorker;
            slots[room.dataCentre] += static_cast<std::int64_t>(std::min(room.tasksThatFit(*wanted.step), bound));
        }
    }
    return slots;
}

std::vector<Room> &Rooms::all()
{
    return this->rooms;
}

const std::vector<std::uint32_t> &Rooms::told() const
{
    return this->toldOfStep;
}

Room *Rooms::find(const workload::Life &worker)
{
    const auto found = this->byWorker.find(worker);
    return found == this->byWorker.end() || !this->rooms[found->second].isUsable ? nullptr : &this->rooms[found->second];
}

Room *Rooms::findAdvised(std::uint32_t adviceNumber)
{
    const std::uint32_t number = adviceNumber < this->byAdviceNumber.size() ? this->byAdviceNumber[adviceNumber] : noRoom;
    return number == noRoom || !this->rooms[number].isUsable ? nullptr : &this->rooms[number];
}

void Rooms::take(Room &room, const work::StepSpecT &step, std::int64_t tasks)
{
    this->touch(room);
    room.take(step, tasks);
}

void Rooms::countTask(Room &room, std::int32_t tasks)
{
    this->touch(room);
    room.stepTasks += static_cast<std::uint32_t>(tasks);
    if (!std::exchange(room.isOfStep, true)) {
        this->ofStep.push_back(static_cast<std::uint32_t>(&room - this->rooms.data()));
    }
}

std::uint32_t Rooms::serviceNumber(std::string_view service) const
{
    return static_cast<std::uint32_t>(std::find(this->services.begin(), this->services.end(), service) - this->services.begin());
}

} // namespace paddlepier::planning
