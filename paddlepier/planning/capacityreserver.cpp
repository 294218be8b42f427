// Reserves capacity for wide tasks where it becomes free first.

#include "paddlepier/planning/capacityreserver.h"

#include "paddlepier/planning/eligibility.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace paddlepier::planning
{

namespace
{

/** Remaining time of a run that exceeds its estimate: it may end at any time, but hasn't ended. */
constexpr Duration minRemaining = absl::Milliseconds(100);

/** Remaining time of a run that is being stopped: the worker reports its end soon. */
constexpr Duration stoppingRemaining = absl::Milliseconds(200);

/** A task that was started this often, not counting failures, is no longer preempted: each start costs a restore and a wait. */
constexpr std::uint32_t maxStartsToPreempt = 4;

/** Expected delay of a preempted run: the stop, the wait for capacity, and the restore. */
constexpr double stopDelayMillis = 3000;

/** Wide steps for which one plan reserves capacity; the limit bounds the plan's time. Later steps use what is left. */
constexpr std::size_t maxReservedSteps = 40;

/** Cost of one preemption, as waiting time: the run loses up to one checkpoint interval and a restore, part of which overlaps with the wait. */
constexpr double secondsPerStop = 0.1;

constexpr double fullPercent = 100;

bool isPreemptibleRun(const workload::Task &task, const work::StepSpecT &step, const execution::RunTrack &track)
{
    return isCheapToPreempt(step) && track.phase == execution::RunPhase::Running && task.lastRun < maxStartsToPreempt + task.failures;
}

} // namespace

bool isWideFor(const WorkerCapacity &worker, const work::StepSpecT &step)
{
    const work::Demand &capacity = *worker.record->registration.capacity;
    return tasksThatFitInto(capacity.milliProcessors(), capacity.memoryMegabytes(), capacity.accelerators(), step) <= maxWideTasksPerWorker;
}

CapacityReserver::CapacityReserver(const workload::Workload &workloadState,
                                   const execution::RunTracks &runTracks,
                                   const ObjectiveForecaster &jobForecaster,
                                   CapacityIndex &planIndex)
    : state(workloadState)
    , tracks(runTracks)
    , forecaster(jobForecaster)
    , capacityIndex(planIndex)
{
}

void CapacityReserver::begin(Timestamp at, std::int64_t wall)
{
    this->now = at;
    this->wallMillis = wall;
    this->runsByWorker.clear();
    this->remainingByGang.clear();
    this->wideBySize.clear();
    this->reservedSteps = 0;
}

Duration CapacityReserver::remainingOf(const execution::RunTrack &track, const work::StepSpecT &step, const std::string &queue) const
{
    if (track.phase == execution::RunPhase::Stopping) {
        return stoppingRemaining;
    }
    const execution::WorkerView *view = this->capacityIndex.findView(track.worker);
    const Duration total = view == nullptr ? absl::InfiniteDuration() : predictedDuration(step, this->forecaster.typicalRatio(queue), *view);
    if (total == absl::InfiniteDuration()) {
        return total;
    }
    if (track.phase == execution::RunPhase::Starting || track.progressAt == absl::InfinitePast()) {
        return total;
    }
    const Duration left = total * (1.0 - track.percent / fullPercent) - (this->now - track.progressAt);
    return std::max(left, minRemaining);
}

Duration CapacityReserver::remainingOfGang(const workload::StepKey &gang, const work::StepSpecT &step, const std::string &queue)
{
    const auto [found, isNew] = this->remainingByGang.try_emplace(gang, absl::ZeroDuration());
    if (!isNew) {
        return found->second;
    }
    // The runs of a step are adjacent in the map.
    for (auto member = this->tracks.lower_bound({gang.job, gang.occurrence, gang.step, 0});
         member != this->tracks.end() && member->first.job == gang.job && member->first.stepKey() == gang;
         ++member) {
        found->second = std::max(found->second, this->remainingOf(member->second, step, queue));
    }
    return found->second;
}

OccupyingRun CapacityReserver::occupyingRun(const workload::TaskKey &key, const workload::Job &job)
{
    OccupyingRun run;
    run.key = key;
    run.step = &job.stepSpec(key.step);
    run.priority = job.queue().priority;
    run.submittedAtMillis = job.submittedAtMillis();
    run.remaining = absl::InfiniteDuration();
    const auto track = this->tracks.find(key);
    if (track != this->tracks.end()) {
        run.isStopping = track->second.phase == execution::RunPhase::Stopping;
        run.remaining = run.step->isGang && !run.isStopping ? this->remainingOfGang(key.stepKey(), *run.step, job.queue().name)
                                                            : this->remainingOf(track->second, *run.step, job.queue().name);
        run.isPreemptible = isPreemptibleRun(job.task(key), *run.step, track->second);
    }
    if (run.isPreemptible) {
        const ObjectiveForecast forecast = this->forecaster.forecast(job, key.occurrence, this->wallMillis);
        run.objectiveStatus = forecast.status;
        run.hasLowSlackAfterStop = forecast.status == ObjectiveStatus::InTime && forecast.slackMillis < forecast.remainingMillis + stopDelayMillis;
    }
    return run;
}

std::vector<OccupyingRun> &CapacityReserver::runsOn(const WorkerCapacity &worker)
{
    const auto [found, isNew] = this->runsByWorker.try_emplace(worker.record);
    if (isNew) {
        for (const workload::TaskKey &key : worker.record->runs) {
            found->second.push_back(this->occupyingRun(key, *this->state.findJob(key.job)));
        }
    }
    return found->second;
}

bool CapacityReserver::isPreemptibleFor(const OccupyingRun &run, const PendingStep &pending)
{
    const std::uint32_t priority = pending.job->queue().priority;
    return run.isPreemptible && run.priority > priority && pending.forecast.status == ObjectiveStatus::InTime && (priority == 0 || !run.hasLowSlackAfterStop);
}

std::vector<CapacityReserver::Release> CapacityReserver::releasesFor(std::vector<OccupyingRun> &runs, const PendingStep &pending) const
{
    std::vector<Release> releases;
    for (OccupyingRun &run : runs) {
        if (run.isStopping) {
            releases.push_back({&run, std::min(run.remaining, typicalStopTime), false});
            continue;
        }
        const bool isPreemption = run.remaining > typicalStopTime && isPreemptibleFor(run, pending);
        releases.push_back({&run, isPreemption ? typicalStopTime : run.remaining, isPreemption});
    }
    // Among runs that would be preempted, those of jobs with the worst status and then the youngest come first: they lose the least.
    std::sort(releases.begin(), releases.end(), [](const Release &left, const Release &right) {
        const auto rank = [](const Release &release) {
            return std::tuple(release.after, release.isPreemption, -static_cast<int>(release.run->objectiveStatus), -release.run->submittedAtMillis);
        };
        return rank(left) != rank(right) ? rank(left) < rank(right) : left.run->key < right.run->key;
    });
    return releases;
}

FutureCapacity CapacityReserver::forecastCapacity(WorkerCapacity &worker, const PendingStep &pending)
{
    FutureCapacity future;
    WorkerCapacity simulated = worker;
    std::vector<Release> used;
    for (const Release &release : this->releasesFor(this->runsOn(worker), pending)) {
        if (simulated.fits(*pending.step) || release.after == absl::InfiniteDuration()) {
            break;
        }
        simulated.reserve(*release.run->step, -1);
        used.push_back(release);
    }
    if (!simulated.fits(*pending.step)) {
        return future;
    }
    // A release that was added early may be unneeded together with later ones. Each is removed again if the task fits without it, beginning
    // with the one that takes longest.
    future.worker = &worker;
    future.wait = absl::ZeroDuration();
    std::reverse(used.begin(), used.end());
    for (const Release &release : used) {
        simulated.reserve(*release.run->step, 1);
        if (simulated.fits(*pending.step)) {
            continue;
        }
        simulated.reserve(*release.run->step, -1);
        future.wait = std::max(future.wait, release.after);
        if (release.isPreemption) {
            future.runsToStop.push_back(release.run);
        }
    }
    return future;
}

bool CapacityReserver::isWide(std::string_view service, const work::StepSpecT &step)
{
    const std::uint32_t number = this->capacityIndex.serviceNumber(service);
    const std::vector<WorkerCapacity> &all = this->capacityIndex.all();
    const auto isLarge = [&](const WorkerCapacity &worker) { return worker.isUsable && worker.service == number && !isWideFor(worker, step); };
    if (this->lastLargeWorker < all.size() && isLarge(all[this->lastLargeWorker])) {
        return false;
    }
    const work::Demand &demand = *step.demand;
    const auto [size, isNew] = this->wideBySize.try_emplace({number, demand.milliProcessors(), demand.memoryMegabytes(), demand.accelerators()},
                                                            this->capacityIndex.usableCount() > 0);
    if (isNew && size->second) {
        const auto found = std::find_if(all.begin(), all.end(), isLarge);
        size->second = found == all.end();
        this->lastLargeWorker = found == all.end() ? this->lastLargeWorker : static_cast<std::uint32_t>(found - all.begin());
    }
    return size->second;
}

CapacityReserver::Option CapacityReserver::optionFor(WorkerCapacity &worker, const PendingStep &pending)
{
    ++this->forecasts;
    Option option{&worker, this->forecastCapacity(worker, pending), std::numeric_limits<double>::infinity()};
    if (option.futureCapacity.worker != nullptr) {
        const double slowSeconds = pending.step->estimatedMillis / 1000.0 * std::max(0.0, worker.view->slowness - 1.0);
        option.cost =
            absl::ToDoubleSeconds(option.futureCapacity.wait) + slowSeconds + secondsPerStop * static_cast<double>(option.futureCapacity.runsToStop.size());
    }
    return option;
}

std::vector<CapacityReserver::Option> CapacityReserver::optionsFor(const PendingStep &pending)
{
    const std::uint32_t service = this->capacityIndex.serviceNumber(pending.job->queue().service);
    std::vector<Option> options;
    const auto consider = [&](WorkerCapacity &worker) {
        if (mayRun(worker, pending, service) && isAcceptable(worker) && isBelowPerWorkerLimit(worker, pending)) {
            options.push_back(this->optionFor(worker, pending));
        }
    };
    std::vector<WorkerCapacity> &all = this->capacityIndex.all();
    if (pending.job->queue().advice == nullptr) {
        std::for_each(all.begin(), all.end(), consider);
        return options;
    }
    for (const std::uint32_t number : this->capacityIndex.advisedWorkers()) {
        if (all[number].adviceStatus == AdviceStatus::Permitted || all[number].adviceStatus == AdviceStatus::Expired) {
            consider(all[number]);
        }
    }
    return options;
}

CapacityReserver::Option *CapacityReserver::soonest(std::vector<Option> &options, const PendingStep &pending, std::uint32_t index)
{
    const workload::Task &task = pending.progress->tasks[index];
    Option *best = nullptr;
    double lowest = std::numeric_limits<double>::infinity();
    for (Option &option : options) {
        if (option.cost < lowest && isTrustedFor(*option.worker, task) && isBelowPerWorkerLimit(*option.worker, pending)) {
            lowest = option.cost;
            best = &option;
        }
    }
    return best;
}

std::uint64_t CapacityReserver::forecastCount() const
{
    return this->forecasts;
}

std::vector<FutureCapacity> CapacityReserver::reserveFor(const PendingStep &pending)
{
    if (pending.step->isFilling || this->reservedSteps >= maxReservedSteps || !this->isWide(pending.job->queue().service, *pending.step)) {
        return {};
    }
    ++this->reservedSteps;
    // A reservation changes only its own worker, so that only that worker is evaluated again for the next task.
    std::vector<Option> options = this->optionsFor(pending);
    std::vector<FutureCapacity> reserved;
    for (const std::uint32_t index : pending.tasks) {
        Option *option = soonest(options, pending, index);
        if (option == nullptr) {
            break;
        }
        this->capacityIndex.reserve(*option->worker, *pending.step);
        this->capacityIndex.countTask(*option->worker, 1);
        reserved.push_back(std::move(option->futureCapacity));
        *option = this->optionFor(*option->worker, pending);
    }
    if (pending.step->isGang && reserved.size() < pending.tasks.size()) {
        for (const FutureCapacity &future : reserved) {
            this->capacityIndex.reserve(*future.worker, *pending.step, -1);
            this->capacityIndex.countTask(*future.worker, -1);
        }
        reserved.clear();
    }
    return reserved;
}

} // namespace paddlepier::planning
