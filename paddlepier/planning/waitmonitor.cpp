// Finds steps that have waited long without a placement, and the reason why.

#include "paddlepier/planning/waitmonitor.h"

#include "paddlepier/planning/eligibility.h"
#include "paddlepier/planning/quotatracker.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <utility>

namespace paddlepier::planning
{

namespace
{

/** An ongoing wait is reported again after this time. */
constexpr Duration reportInterval = absl::Seconds(10);

/** Waits reported by one call; in a cell that stays full, hundreds of steps wait for the same reason. */
constexpr std::size_t maxReports = 10;

/** Workers described in one report. */
constexpr std::size_t maxDescribedWorkers = 10;

/** The task would fit into the worker if it ran nothing else. */
bool isLargeEnough(const WorkerCapacity &worker, const work::StepSpecT &step)
{
    const work::Demand &capacity = *worker.record->registration.capacity;
    const work::Demand &demand = *step.demand;
    return (step.isFilling || demand.milliProcessors() <= capacity.milliProcessors()) && demand.memoryMegabytes() <= capacity.memoryMegabytes()
           && demand.accelerators() <= capacity.accelerators();
}

/** The workers that satisfy all conditions applied so far. */
class RemainingWorkers
{
public:
    explicit RemainingWorkers(std::vector<WorkerCapacity> &all)
    {
        for (WorkerCapacity &worker : all) {
            this->workers.push_back(&worker);
        }
    }

    /** Removes workers that don't satisfy the predicate. @return true if none remains */
    template<typename Predicate>
    bool isEmptyAfter(Predicate satisfies)
    {
        std::erase_if(this->workers, [&satisfies](const WorkerCapacity *worker) { return !satisfies(*worker); });
        return this->workers.empty();
    }

    std::size_t tasksThatFit(const work::StepSpecT &step) const
    {
        std::size_t tasks = 0;
        for (const WorkerCapacity *worker : this->workers) {
            tasks += worker->tasksThatFit(step);
        }
        return tasks;
    }

private:
    std::vector<const WorkerCapacity *> workers;
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
                         const execution::TaskBackoff &backoff,
                         StepOrder &stepOrder,
                         CapacityIndex &planIndex,
                         SuspectIsolation &suspectIsolation)
    : state(workloadState)
    , taskBackoff(backoff)
    , order(stepOrder)
    , capacityIndex(planIndex)
    , isolation(suspectIsolation)
{
}

std::vector<LongWait> WaitMonitor::scan(Timestamp now, std::int64_t wallMillis)
{
    this->order.update(wallMillis);
    this->updateSteps(now);
    std::vector<LongWait> waits;
    for (const WaitingStep &waiting : this->order.steps()) {
        StepWait &entry = this->stepWaits.at(waiting.key);
        if (now - entry.since < longWaitThreshold || now - entry.reportedAt < reportInterval) {
            continue;
        }
        if (waits.empty()) {
            this->capacityIndex.refresh(now);
            this->isolation.begin(now);
        }
        entry.reportedAt = now;
        const PendingStep pending = StepOrder::pendingStep(waiting, wallMillis);
        waits.push_back({pending.key, pending.tasks.size(), now - entry.since, this->reasonFor(now, pending), ""});
        if (waits.back().reason == WaitReason::WorkersBarred) {
            waits.back().barredWorkers = this->describeBarredWorkers(now, pending);
        }
        this->reported[pending.key] = waits.back();
        if (waits.size() >= maxReports) {
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
        const auto previous = this->stepWaits.find(waiting.key);
        const bool isContinued = previous != this->stepWaits.end() && tasks >= previous->second.tasks;
        StepWait entry = isContinued ? previous->second : StepWait{now};
        entry.tasks = tasks;
        current.emplace(waiting.key, entry);
    }
    this->stepWaits = std::move(current);
    std::erase_if(this->reported, [this, now](const auto &entry) {
        const auto previous = this->stepWaits.find(entry.first);
        return previous == this->stepWaits.end() || now - previous->second.since < longWaitThreshold;
    });
}

const LongWait *WaitMonitor::find(const std::string &job) const
{
    const auto found = this->reported.lower_bound({job, 0, 0});
    return found == this->reported.end() || found->first.job != job ? nullptr : &found->second;
}

template<typename Predicate>
bool WaitMonitor::hasWorkerFor(const PendingStep &pending, Predicate isCounted) const
{
    const auto &workers = this->state.workers();
    return std::any_of(workers.begin(), workers.end(), [&pending, &isCounted](const auto &entry) {
        const workload::Worker &worker = entry.second;
        const std::string &label = pending.step->requiredLabel;
        return worker.registration.service == pending.job->queue().service && (label.empty() || worker.hasLabel(label)) && isCounted(worker);
    });
}

WaitReason WaitMonitor::reasonFor(Timestamp now, const PendingStep &pending)
{
    const std::uint32_t index = pending.tasks.front();
    const workload::TaskKey key(pending.key.job, pending.key.occurrence, pending.key.step, index);
    const workload::Task &task = pending.progress->tasks[index];
    if (task.awaitsLosses()) {
        return WaitReason::LossesInDoubt;
    }
    if (this->taskBackoff.isBackingOff(now, key)) {
        return WaitReason::Paused;
    }
    if (tasksWithin(this->state.teams().headroomOf(pending.job->team()), pending) == 0) {
        return WaitReason::TeamAtQuota;
    }
    this->capacityIndex.beginStep(now, pending);
    const bool needsAdvice = pending.job->queue().advice != nullptr;
    const std::uint32_t service = this->capacityIndex.serviceNumber(pending.job->queue().service);
    RemainingWorkers remaining(this->capacityIndex.all());
    if (remaining.isEmptyAfter([&](const WorkerCapacity &worker) { return mayRun(worker, pending, service); })) {
        if (!this->hasWorkerFor(pending, [](const workload::Worker &) { return true; })) {
            return WaitReason::NoWorker;
        }
        const bool hasWorkerElsewhere = this->hasWorkerFor(pending, [this](const workload::Worker &worker) { return !this->state.isEvacuated(worker); });
        return hasWorkerElsewhere ? WaitReason::WorkersUnusable : WaitReason::Evacuated;
    }
    if (remaining.isEmptyAfter([&](const WorkerCapacity &worker) { return !needsAdvice || worker.adviceStatus != AdviceStatus::Forbidden; })) {
        return WaitReason::NotPermitted;
    }
    if (remaining.isEmptyAfter([&](const WorkerCapacity &worker) { return isBelowPerWorkerLimit(worker, pending); })) {
        return WaitReason::PerWorkerBound;
    }
    if (remaining.isEmptyAfter([](const WorkerCapacity &worker) { return !worker.isIsolated; })) {
        return WaitReason::KeptApart;
    }
    if (remaining.isEmptyAfter([&task](const WorkerCapacity &worker) { return isTrustedFor(worker, task); })) {
        return WaitReason::WorkersBarred;
    }
    if (remaining.isEmptyAfter([&key](const WorkerCapacity &worker) { return !worker.record->superseded.contains(key); })) {
        return WaitReason::CopyUnsettled;
    }
    if (remaining.isEmptyAfter([&pending](const WorkerCapacity &worker) { return isLargeEnough(worker, *pending.step); })) {
        return WaitReason::TooLarge;
    }
    const bool noneFits = remaining.isEmptyAfter([&pending](const WorkerCapacity &worker) { return worker.fits(*pending.step); });
    if (noneFits || (pending.step->isGang && remaining.tasksThatFit(*pending.step) < pending.tasks.size())) {
        return WaitReason::NoRoom;
    }
    const bool hasNoTicket =
        remaining.isEmptyAfter([&](const WorkerCapacity &worker) { return !needsAdvice || worker.adviceStatus == AdviceStatus::Permitted; });
    return hasNoTicket ? WaitReason::AdviceAwaited : WaitReason::RoomKept;
}

std::string WaitMonitor::describeBarredWorkers(Timestamp now, const PendingStep &pending)
{
    const std::uint32_t service = this->capacityIndex.serviceNumber(pending.job->queue().service);
    std::string text;
    std::size_t described = 0;
    for (const WorkerCapacity &worker : this->capacityIndex.all()) {
        if (!mayRun(worker, pending, service) || worker.view->consecutiveFailures == 0 || described++ >= maxDescribedWorkers) {
            continue;
        }
        const Duration remaining = std::max(absl::ZeroDuration(), worker.view->suspectUntil - now);
        absl::StrAppend(&text,
                        text.empty() ? "" : " ",
                        worker.incarnation().text(),
                        ":failures=",
                        worker.view->consecutiveFailures,
                        ",suspectMillis=",
                        absl::ToInt64Milliseconds(remaining),
                        ",runs=",
                        worker.record->runs.size());
    }
    return text;
}

} // namespace paddlepier::planning
