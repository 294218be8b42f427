// Why tasks wait.

#include "paddlepier/planning/waitmonitor.h"

#include "paddlepier/planning/eligibility.h"
#include "paddlepier/planning/quotatracker.h"

#include <algorithm>
#include <array>
#include <utility>

namespace paddlepier::planning
{

namespace
{

/** A wait that lasts is told again after this time. */
constexpr Duration tellingPause = absl::Seconds(10);

/** Waits that are told at once; a cell that is full for long has hundreds, for the same reason. */
constexpr std::size_t mostTold = 10;

/** The task fits into the worker while nothing else is there. */
bool isLargeEnough(const Room &room, const work::StepSpecT &step)
{
    const work::Demand &capacity = *room.worker->registration.capacity;
    const work::Demand &demand = *step.demand;
    return (step.isFilling || demand.milliProcessors() <= capacity.milliProcessors()) && demand.memoryMegabytes() <= capacity.memoryMegabytes()
           && demand.accelerators() <= capacity.accelerators();
}

/** Rooms that are left to a task after one condition after the other. */
class Remaining
{
public:
    explicit Remaining(std::vector<Room> &all)
    {
        for (Room &room : all) {
            this->rooms.push_back(&room);
        }
    }

    /** @return true if none is left */
    template<typename Predicate>
    bool isEmptyAfter(Predicate isKept)
    {
        std::erase_if(this->rooms, [&isKept](const Room *room) { return !isKept(*room); });
        return this->rooms.empty();
    }

    std::size_t tasksThatFit(const work::StepSpecT &step) const
    {
        std::size_t tasks = 0;
        for (const Room *room : this->rooms) {
            tasks += room->tasksThatFit(step);
        }
        return tasks;
    }

private:
    std::vector<const Room *> rooms;
};

} // namespace

const char *nameOf(WaitReason reason)
{
    static constexpr std::array<const char *, 15> names{"losses-in-doubt",
                                                        "paused",
                                                        "team-at-quota",
                                                        "no-worker",
                                                        "evacuated",
                                                        "workers-unusable",
                                                        "not-permitted",
                                                        "per-worker-bound",
                                                        "kept-apart",
                                                        "workers-barred",
                                                        "copy-unsettled",
                                                        "too-large",
                                                        "no-room",
                                                        "advice-awaited",
                                                        "room-kept"};
    return names.at(static_cast<std::size_t>(reason));
}

WaitWatch::WaitWatch(
    const workload::Workload &workloadState, const execution::Setbacks &taskSetbacks, StepOrder &stepOrder, Rooms &planRooms, Probation &suspectProbation)
    : state(workloadState)
    , setbacks(taskSetbacks)
    , order(stepOrder)
    , rooms(planRooms)
    , probation(suspectProbation)
{
}

std::vector<LongWait> WaitWatch::look(Timestamp now, std::int64_t wallMillis)
{
    this->order.update(wallMillis);
    this->note(now);
    std::vector<LongWait> waits;
    for (const WaitingStep &waiting : this->order.steps()) {
        Seen &entry = this->seen.at(waiting.key);
        if (now - entry.since < longWait || now - entry.toldAt < tellingPause) {
            continue;
        }
        if (waits.empty()) {
            this->rooms.collect(now);
            this->probation.begin(now);
        }
        entry.toldAt = now;
        const WantedStep wanted = StepOrder::wantedStep(waiting, wallMillis);
        waits.push_back({wanted.key, wanted.tasks.size(), now - entry.since, this->reasonFor(now, wanted)});
        this->told[wanted.key] = waits.back();
        if (waits.size() >= mostTold) {
            break;
        }
    }
    return waits;
}

void WaitWatch::note(Timestamp now)
{
    std::map<workload::StepKey, Seen> current;
    for (const WaitingStep &waiting : this->order.steps()) {
        const std::size_t tasks = waiting.job->occurrences()[waiting.key.occurrence].steps[waiting.key.step].waitingTasks;
        const auto known = this->seen.find(waiting.key);
        const bool goesOn = known != this->seen.end() && tasks >= known->second.tasks;
        Seen entry = goesOn ? known->second : Seen{now};
        entry.tasks = tasks;
        current.emplace(waiting.key, entry);
    }
    this->seen = std::move(current);
    std::erase_if(this->told, [this, now](const auto &entry) {
        const auto known = this->seen.find(entry.first);
        return known == this->seen.end() || now - known->second.since < longWait;
    });
}

const LongWait *WaitWatch::find(const std::string &job) const
{
    const auto found = this->told.lower_bound({job, 0, 0});
    return found == this->told.end() || found->first.job != job ? nullptr : &found->second;
}

template<typename Predicate>
bool WaitWatch::hasWorkerFor(const WantedStep &wanted, Predicate isCounted) const
{
    const auto &workers = this->state.workers();
    return std::any_of(workers.begin(), workers.end(), [&wanted, &isCounted](const auto &entry) {
        const workload::Worker &worker = entry.second;
        const std::string &label = wanted.step->requiredLabel;
        return worker.registration.service == wanted.job->queue().service && (label.empty() || worker.hasLabel(label)) && isCounted(worker);
    });
}

WaitReason WaitWatch::reasonFor(Timestamp now, const WantedStep &wanted)
{
    const std::uint32_t index = wanted.tasks.front();
    const workload::TaskKey key(wanted.key.job, wanted.key.occurrence, wanted.key.step, index);
    const workload::Task &task = wanted.progress->tasks[index];
    if (task.possibleLosses() >= workload::mostLosses) {
        return WaitReason::LossesInDoubt;
    }
    if (this->setbacks.isPaused(now, key)) {
        return WaitReason::Paused;
    }
    if (tasksWithin(this->state.teams().roomOf(wanted.job->team()), wanted) == 0) {
        return WaitReason::TeamAtQuota;
    }
    this->rooms.beginStep(now, wanted);
    const bool needsAdvice = wanted.job->queue().advice != nullptr;
    const std::uint32_t service = this->rooms.serviceNumber(wanted.job->queue().service);
    Remaining remaining(this->rooms.all());
    if (remaining.isEmptyAfter([&](const Room &room) { return mayRun(room, wanted, service); })) {
        if (!this->hasWorkerFor(wanted, [](const workload::Worker &) { return true; })) {
            return WaitReason::NoWorker;
        }
        const bool isElsewhere = this->hasWorkerFor(wanted, [this](const workload::Worker &worker) { return !this->state.isEvacuated(worker); });
        return isElsewhere ? WaitReason::WorkersUnusable : WaitReason::Evacuated;
    }
    if (remaining.isEmptyAfter([&](const Room &room) { return !needsAdvice || room.standing != Standing::Forbidden; })) {
        return WaitReason::NotPermitted;
    }
    if (remaining.isEmptyAfter([&](const Room &room) { return isBelowBound(room, wanted); })) {
        return WaitReason::PerWorkerBound;
    }
    if (remaining.isEmptyAfter([](const Room &room) { return !room.isKeptApart; })) {
        return WaitReason::KeptApart;
    }
    if (remaining.isEmptyAfter([&task](const Room &room) { return isTrusted(room, task); })) {
        return WaitReason::WorkersBarred;
    }
    if (remaining.isEmptyAfter([&key](const Room &room) { return !room.worker->superseded.contains(key); })) {
        return WaitReason::CopyUnsettled;
    }
    if (remaining.isEmptyAfter([&wanted](const Room &room) { return isLargeEnough(room, *wanted.step); })) {
        return WaitReason::TooLarge;
    }
    const bool hasNone = remaining.isEmptyAfter([&wanted](const Room &room) { return room.fits(*wanted.step); });
    if (hasNone || (wanted.step->isGang && remaining.tasksThatFit(*wanted.step) < wanted.tasks.size())) {
        return WaitReason::NoRoom;
    }
    const bool hasNoTicket = remaining.isEmptyAfter([&](const Room &room) { return !needsAdvice || room.standing == Standing::Permitted; });
    return hasNoTicket ? WaitReason::AdviceAwaited : WaitReason::RoomKept;
}

} // namespace paddlepier::planning
