// Where a task that needs much of a worker will fit first.

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

/** A run that is past its estimate may end at any time, but isn't over. */
constexpr Duration leastRemaining = absl::Milliseconds(100);

/** What is being stopped is listed as ended soon. */
constexpr Duration stoppingRemaining = absl::Milliseconds(200);

/** A task that was started this often, without failing, makes way no more: each start costs it a restore and a wait. */
constexpr std::uint32_t mostStartsToYield = 4;

/** What a run that makes way has to expect: the stop, a restore, and a wait for room in between; milliseconds. */
constexpr double stopDelayMillis = 3000;

/** Most wide steps of one plan that room is kept for, which bounds a plan's time; what comes after them takes what is left. */
constexpr std::size_t mostKeptSteps = 40;

/** What stopping one run is worth in waiting: it loses up to a save's interval and a restore, a part of which is used meanwhile. */
constexpr double secondsPerStop = 0.1;

constexpr double wholePercent = 100;

bool mayYield(const workload::Task &task, const work::StepSpecT &step, const execution::RunTrack &track)
{
    return isCheapToPreempt(step) && track.phase == execution::RunPhase::Running && task.lastRun < mostStartsToYield + task.failures;
}

} // namespace

bool isWideFor(const WorkerCapacity &room, const work::StepSpecT &step)
{
    const work::Demand &capacity = *room.record->registration.capacity;
    return tasksThatFitInto(capacity.milliProcessors(), capacity.memoryMegabytes(), capacity.accelerators(), step) <= maxWideTasksPerWorker;
}

CapacityReserver::CapacityReserver(const workload::Workload &workloadState,
                                   const execution::RunTracks &runTracks,
                                   const ObjectiveForecaster &jobProspects,
                                   CapacityIndex &planRooms)
    : state(workloadState)
    , tracks(runTracks)
    , forecaster(jobProspects)
    , capacityIndex(planRooms)
{
}

void CapacityReserver::begin(Timestamp at, std::int64_t wall)
{
    this->now = at;
    this->wallMillis = wall;
    this->runsByWorker.clear();
    this->wideBySize.clear();
    this->reservedSteps = 0;
}

Duration CapacityReserver::remainingOf(const execution::RunTrack &track, const work::StepSpecT &step, const std::string &queue) const
{
    if (track.phase == execution::RunPhase::Stopping) {
        return stoppingRemaining;
    }
    if (step.isLasting || step.estimatedMillis == 0) {
        return absl::InfiniteDuration();
    }
    const Duration whole = absl::Milliseconds(step.estimatedMillis) * this->forecaster.typicalRatio(queue);
    if (track.phase == execution::RunPhase::Starting || track.progressAt == absl::InfinitePast()) {
        return whole;
    }
    const Duration left = whole * (1.0 - track.percent / wholePercent) - (this->now - track.progressAt);
    return std::max(left, leastRemaining);
}

OccupyingRun CapacityReserver::occupyingRun(const workload::TaskKey &key, const workload::Job &job) const
{
    OccupyingRun run;
    run.key = key;
    run.step = &job.stepSpec(key.step);
    run.priority = job.queue().priority;
    run.submittedAtMillis = job.submittedAtMillis();
    run.remaining = absl::InfiniteDuration();
    const auto track = this->tracks.find(key);
    if (track != this->tracks.end()) {
        run.remaining = this->remainingOf(track->second, *run.step, job.queue().name);
        run.isStopping = track->second.phase == execution::RunPhase::Stopping;
        run.isPreemptible = mayYield(job.task(key), *run.step, track->second);
    }
    if (run.isPreemptible) {
        const ObjectiveForecast prospect = this->forecaster.forecast(job, key.occurrence, this->wallMillis);
        run.objectiveStatus = prospect.status;
        run.hasLowSlackAfterStop = prospect.status == ObjectiveStatus::InTime && prospect.slackMillis < prospect.remainingMillis + stopDelayMillis;
    }
    return run;
}

std::vector<OccupyingRun> &CapacityReserver::runsOn(const WorkerCapacity &room)
{
    const auto [found, isNew] = this->runsByWorker.try_emplace(room.record);
    if (isNew) {
        for (const workload::TaskKey &key : room.record->runs) {
            found->second.push_back(this->occupyingRun(key, *this->state.findJob(key.job)));
        }
    }
    return found->second;
}

bool CapacityReserver::isPreemptibleFor(const OccupyingRun &run, const PendingStep &wanted)
{
    const std::uint32_t priority = wanted.job->queue().priority;
    return run.isPreemptible && run.priority > priority && wanted.forecast.status == ObjectiveStatus::InTime && (priority == 0 || !run.hasLowSlackAfterStop);
}

std::vector<CapacityReserver::Release> CapacityReserver::releasesFor(std::vector<OccupyingRun> &runs, const PendingStep &wanted) const
{
    std::vector<Release> releases;
    for (OccupyingRun &run : runs) {
        if (run.isStopping) {
            releases.push_back({&run, std::min(run.remaining, typicalStopTime), false});
            continue;
        }
        const bool isStop = run.remaining > typicalStopTime && isPreemptibleFor(run, wanted);
        releases.push_back({&run, isStop ? typicalStopTime : run.remaining, isStop});
    }
    // Of what would be stopped, jobs that have least to lose go first.
    std::sort(releases.begin(), releases.end(), [](const Release &left, const Release &right) {
        const auto rank = [](const Release &release) {
            return std::tuple(release.after, release.isPreemption, -static_cast<int>(release.run->objectiveStatus), -release.run->submittedAtMillis);
        };
        return rank(left) != rank(right) ? rank(left) < rank(right) : left.run->key < right.run->key;
    });
    return releases;
}

FutureCapacity CapacityReserver::forecastCapacity(WorkerCapacity &room, const PendingStep &wanted)
{
    FutureCapacity coming;
    WorkerCapacity later = room;
    std::vector<Release> used;
    for (const Release &release : this->releasesFor(this->runsOn(room), wanted)) {
        if (later.fits(*wanted.step) || release.after == absl::InfiniteDuration()) {
            break;
        }
        later.reserve(*release.run->step, -1);
        used.push_back(release);
    }
    if (!later.fits(*wanted.step)) {
        return coming;
    }
    // What was counted earlier may be needless beside what came after it; the dearest is left out first.
    coming.worker = &room;
    coming.wait = absl::ZeroDuration();
    std::reverse(used.begin(), used.end());
    for (const Release &release : used) {
        later.reserve(*release.run->step, 1);
        if (later.fits(*wanted.step)) {
            continue;
        }
        later.reserve(*release.run->step, -1);
        coming.wait = std::max(coming.wait, release.after);
        if (release.isPreemption) {
            coming.runsToStop.push_back(release.run);
        }
    }
    return coming;
}

bool CapacityReserver::isWide(std::string_view service, const work::StepSpecT &step)
{
    const std::uint32_t number = this->capacityIndex.serviceNumber(service);
    const std::vector<WorkerCapacity> &all = this->capacityIndex.all();
    const auto takesSeveral = [&](const WorkerCapacity &room) { return room.isUsable && room.service == number && !isWideFor(room, step); };
    if (this->lastLargeWorker < all.size() && takesSeveral(all[this->lastLargeWorker])) {
        return false;
    }
    const work::Demand &demand = *step.demand;
    const auto [size, isNew] = this->wideBySize.try_emplace({number, demand.milliProcessors(), demand.memoryMegabytes(), demand.accelerators()},
                                                            this->capacityIndex.usableCount() > 0);
    if (isNew && size->second) {
        const auto large = std::find_if(all.begin(), all.end(), takesSeveral);
        size->second = large == all.end();
        this->lastLargeWorker = large == all.end() ? this->lastLargeWorker : static_cast<std::uint32_t>(large - all.begin());
    }
    return size->second;
}

CapacityReserver::Option CapacityReserver::optionFor(WorkerCapacity &room, const PendingStep &wanted)
{
    ++this->forecasts;
    Option option{&room, this->forecastCapacity(room, wanted), std::numeric_limits<double>::infinity()};
    if (option.futureCapacity.worker != nullptr) {
        const double slowSeconds = wanted.step->estimatedMillis / 1000.0 * std::max(0.0, room.view->slowness - 1.0);
        option.cost =
            absl::ToDoubleSeconds(option.futureCapacity.wait) + slowSeconds + secondsPerStop * static_cast<double>(option.futureCapacity.runsToStop.size());
    }
    return option;
}

std::vector<CapacityReserver::Option> CapacityReserver::optionsFor(const PendingStep &wanted)
{
    const std::uint32_t service = this->capacityIndex.serviceNumber(wanted.job->queue().service);
    std::vector<Option> options;
    const auto consider = [&](WorkerCapacity &room) {
        if (mayRun(room, wanted, service) && isAcceptable(room) && isBelowPerWorkerLimit(room, wanted)) {
            options.push_back(this->optionFor(room, wanted));
        }
    };
    std::vector<WorkerCapacity> &all = this->capacityIndex.all();
    if (wanted.job->queue().advice == nullptr) {
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

CapacityReserver::Option *CapacityReserver::soonest(std::vector<Option> &options, const PendingStep &wanted, std::uint32_t index)
{
    const workload::Task &task = wanted.progress->tasks[index];
    Option *best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (Option &option : options) {
        if (option.cost < least && isTrustedFor(*option.worker, task) && isBelowPerWorkerLimit(*option.worker, wanted)) {
            least = option.cost;
            best = &option;
        }
    }
    return best;
}

std::uint64_t CapacityReserver::forecastCount() const
{
    return this->forecasts;
}

std::vector<FutureCapacity> CapacityReserver::reserveFor(const PendingStep &wanted)
{
    if (wanted.step->isFilling || this->reservedSteps >= mostKeptSteps || !this->isWide(wanted.job->queue().service, *wanted.step)) {
        return {};
    }
    ++this->reservedSteps;
    // What is kept for one task changes its own worker alone: the others needn't be judged again for the next.
    std::vector<Option> options = this->optionsFor(wanted);
    std::vector<FutureCapacity> kept;
    for (const std::uint32_t index : wanted.tasks) {
        Option *option = soonest(options, wanted, index);
        if (option == nullptr) {
            break;
        }
        this->capacityIndex.reserve(*option->worker, *wanted.step);
        this->capacityIndex.countTask(*option->worker, 1);
        kept.push_back(std::move(option->futureCapacity));
        *option = this->optionFor(*option->worker, wanted);
    }
    if (wanted.step->isGang && kept.size() < wanted.tasks.size()) {
        for (const FutureCapacity &coming : kept) {
            this->capacityIndex.reserve(*coming.worker, *wanted.step, -1);
            this->capacityIndex.countTask(*coming.worker, -1);
        }
        kept.clear();
    }
    return kept;
}

} // namespace paddlepier::planning
