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
bool isLargeEnough(const WorkerCapacity &room, const work::StepSpecT &step)
{
    const work::Demand &capacity = *room.record->registration.capacity;
    const work::Demand &demand = *step.demand;
    return (step.isFilling || demand.milliProcessors() <= capacity.milliProcessors()) && demand.memoryMegabytes() <= capacity.memoryMegabytes()
           && demand.accelerators() <= capacity.accelerators();
}

/** Rooms that are left to a task after one condition after the other. */
class Remaining
{
public:
    explicit Remaining(std::vector<WorkerCapacity> &all)
    {
        for (WorkerCapacity &room : all) {
            this->rooms.push_back(&room);
        }
    }

    /** @return true if none is left */
    template<typename Predicate>
    bool isEmptyAfter(Predicate isKept)
    {
        std::erase_if(this->rooms, [&isKept](const WorkerCapacity *room) { return !isKept(*room); });
        return this->rooms.empty();
    }

    std::size_t tasksThatFit(const work::StepSpecT &step) const
    {
        std::size_t tasks = 0;
        for (const WorkerCapacity *room : this->rooms) {
            tasks += room->tasksThatFit(step);
        }
        return tasks;
    }

private:
    std::vector<const WorkerCapacity *> rooms;
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

WaitMonitor::WaitMonitor(const workload::Workload &workloadState,
                         const execution::TaskBackoff &taskSetbacks,
                         StepOrder &stepOrder,
                         CapacityIndex &planRooms,
                         SuspectIsolation &suspectProbation)
    : state(workloadState)
    , taskBackoff(taskSetbacks)
    , order(stepOrder)
    , capacityIndex(planRooms)
    , isolation(suspectProbation)
{
}

std::vector<LongWait> WaitMonitor::scan(Timestamp now, std::int64_t wallMillis)
{
    this->order.update(wallMillis);
    this->updateSteps(now);
    std::vector<LongWait> waits;
    for (const WaitingStep &waiting : this->order.steps()) {
        StepWait &entry = this->stepWaits.at(waiting.key);
        if (now - entry.since < longWaitThreshold || now - entry.reportedAt < tellingPause) {
            continue;
        }
        if (waits.empty()) {
            this->capacityIndex.refresh(now);
            this->isolation.begin(now);
        }
        entry.reportedAt = now;
        const PendingStep wanted = StepOrder::pendingStep(waiting, wallMillis);
        waits.push_back({wanted.key, wanted.tasks.size(), now - entry.since, this->reasonFor(now, wanted)});
        this->reported[wanted.key] = waits.back();
        if (waits.size() >= mostTold) {
            break;
        }
    }
    return waits;
}

void WaitMonitor::updateSteps(Timestamp now)
{
    std::map<workload::StepKey, StepWait> current;
    for (const WaitingStep &waiting : this->order.steps()) {
        const std::size_t tasks = waiting.job->occurrences()[waiting.key.occurrence].steps[waiting.key.step].waitingTasks;
        const auto known = this->stepWaits.find(waiting.key);
        const bool goesOn = known != this->stepWaits.end() && tasks >= known->second.tasks;
        StepWait entry = goesOn ? known->second : StepWait{now};
        entry.tasks = tasks;
        current.emplace(waiting.key, entry);
    }
    this->stepWaits = std::move(current);
    std::erase_if(this->reported, [this, now](const auto &entry) {
        const auto known = this->stepWaits.find(entry.first);
        return known == this->stepWaits.end() || now - known->second.since < longWaitThreshold;
    });
}

const LongWait *WaitMonitor::find(const std::string &job) const
{
    const auto found = this->reported.lower_bound({job, 0, 0});
    return found == this->reported.end() || found->first.job != job ? nullptr : &found->second;
}

template<typename Predicate>
bool WaitMonitor::hasWorkerFor(const PendingStep &wanted, Predicate isCounted) const
{
    const auto &workers = this->state.workers();
    return std::any_of(workers.begin(), workers.end(), [&wanted, &isCounted](const auto &entry) {
        const workload::Worker &worker = entry.second;
        const std::string &label = wanted.step->requiredLabel;
        return worker.registration.service == wanted.job->queue().service && (label.empty() || worker.hasLabel(label)) && isCounted(worker);
    });
}

WaitReason WaitMonitor::reasonFor(Timestamp now, const PendingStep &wanted)
{
    const std::uint32_t index = wanted.tasks.front();
    const workload::TaskKey key(wanted.key.job, wanted.key.occurrence, wanted.key.step, index);
    const workload::Task &task = wanted.progress->tasks[index];
    if (task.possibleLosses() >= workload::maxLosses) {
        return WaitReason::LossesInDoubt;
    }
    if (this->taskBackoff.isBackingOff(now, key)) {
        return WaitReason::Paused;
    }
    if (tasksWithin(this->state.teams().headroomOf(wanted.job->team()), wanted) == 0) {
        return WaitReason::TeamAtQuota;
    }
    this->capacityIndex.beginStep(now, wanted);
    const bool needsAdvice = wanted.job->queue().advice != nullptr;
    const std::uint32_t service = this->capacityIndex.serviceNumber(wanted.job->queue().service);
    Remaining remaining(this->capacityIndex.all());
    if (remaining.isEmptyAfter([&](const WorkerCapacity &room) { return mayRun(room, wanted, service); })) {
        if (!this->hasWorkerFor(wanted, [](const workload::Worker &) { return true; })) {
            return WaitReason::NoWorker;
        }
        const bool isElsewhere = this->hasWorkerFor(wanted, [this](const workload::Worker &worker) { return !this->state.isEvacuated(worker); });
        return isElsewhere ? WaitReason::WorkersUnusable : WaitReason::Evacuated;
    }
    if (remaining.isEmptyAfter([&](const WorkerCapacity &room) { return !needsAdvice || room.adviceStatus != AdviceStatus::Forbidden; })) {
        return WaitReason::NotPermitted;
    }
    if (remaining.isEmptyAfter([&](const WorkerCapacity &room) { return isBelowPerWorkerLimit(room, wanted); })) {
        return WaitReason::PerWorkerBound;
    }
    if (remaining.isEmptyAfter([](const WorkerCapacity &room) { return !room.isIsolated; })) {
        return WaitReason::KeptApart;
    }
    if (remaining.isEmptyAfter([&task](const WorkerCapacity &room) { return isTrustedFor(room, task); })) {
        return WaitReason::WorkersBarred;
    }
    if (remaining.isEmptyAfter([&key](const WorkerCapacity &room) { return !room.record->superseded.contains(key); })) {
        return WaitReason::CopyUnsettled;
    }
    if (remaining.isEmptyAfter([&wanted](const WorkerCapacity &room) { return isLargeEnough(room, *wanted.step); })) {
        return WaitReason::TooLarge;
    }
    const bool hasNone = remaining.isEmptyAfter([&wanted](const WorkerCapacity &room) { return room.fits(*wanted.step); });
    if (hasNone || (wanted.step->isGang && remaining.tasksThatFit(*wanted.step) < wanted.tasks.size())) {
        return WaitReason::NoRoom;
    }
    const bool hasNoTicket = remaining.isEmptyAfter([&](const WorkerCapacity &room) { return !needsAdvice || room.adviceStatus == AdviceStatus::Permitted; });
    return hasNoTicket ? WaitReason::AdviceAwaited : WaitReason::RoomKept;
}

} // namespace paddlepier::planning
