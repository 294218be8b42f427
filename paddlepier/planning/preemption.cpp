// Chooses the runs that are preempted for urgent work and for wide tasks.

#include "paddlepier/planning/preemption.h"

#include "paddlepier/planning/eligibility.h"

#include <utility>

namespace paddlepier::planning
{

namespace
{

/** Preemptions of one plan; the limit keeps a burst from stopping more runs than the next plan would still find necessary. */
constexpr std::size_t maxPreemptions = 24;

/**
 * A plan stops searching for candidates after this many steps without a result: each search visits all runs, and if it fails for the first
 * steps it rarely succeeds for later ones.
 */
constexpr std::size_t maxUnsuccessfulSteps = 8;

/**
 * Minimum pause between two plans with preemptions. Stopping runs need some of that time, and a plan that only skips steps with pending
 * advice requests is cheap.
 */
constexpr Duration preemptionPause = absl::Milliseconds(20);

/** A late step gains less by a preemption than the job of the stopped run loses. */
bool mayStopAnywhere(std::uint32_t priority, const ObjectiveForecast &forecast)
{
    return priority == 0 && forecast.status == ObjectiveStatus::InTime;
}

} // namespace

void PreemptionCandidates::addOccurrence(const workload::Job &job, std::uint32_t occurrence, const execution::RunTracks &tracks, CapacityIndex &capacityIndex)
{
    const std::vector<workload::Step> &steps = job.occurrences()[occurrence].steps;
    for (std::uint32_t number = 0; number < steps.size(); ++number) {
        const work::StepSpecT &step = job.stepSpec(number);
        if (steps[number].runningTasks == 0 || !isCheapToPreempt(step)) {
            continue;
        }
        for (std::uint32_t index = 0; index < steps[number].tasks.size(); ++index) {
            const workload::Task &task = steps[number].tasks[index];
            WorkerCapacity *worker = task.hasRun() ? capacityIndex.find(task.worker) : nullptr;
            if (worker == nullptr) {
                continue;
            }
            workload::TaskKey key(job.id(), occurrence, number, index);
            const auto track = tracks.find(key);
            if (track != tracks.end() && track->second.phase == execution::RunPhase::Running) {
                this->runs.push_back(
                    {std::move(key), worker, job.queue().priority, step.demand->milliProcessors(), ObjectiveStatus::InTime, job.submittedAtMillis(), false});
            }
        }
    }
}

void PreemptionCandidates::sort()
{
    std::sort(this->runs.begin(), this->runs.end(), [](const PreemptionCandidate &left, const PreemptionCandidate &right) {
        const auto rank = [](const PreemptionCandidate &run) { return std::tie(run.objectiveStatus, run.submittedAtMillis); };
        if (rank(left) != rank(right)) {
            return rank(left) > rank(right);
        }
        return std::tie(left.worker, left.key) < std::tie(right.worker, right.key);
    });
}

Preemptor::Preemptor(const workload::Workload &workloadState,
                     const execution::RunTracks &runTracks,
                     const ObjectiveForecaster &jobForecaster,
                     CapacityIndex &planIndex,
                     const AdviceCache &cache)
    : state(workloadState)
    , tracks(runTracks)
    , forecaster(jobForecaster)
    , capacityIndex(planIndex)
    , adviceCache(cache)
{
}

void Preemptor::begin(Timestamp at, std::int64_t wall)
{
    this->now = at;
    this->wallMillis = wall;
    this->areCandidatesCollected = false;
    this->mayPreempt = at >= this->nextPreemption;
    this->unsuccessfulSteps = 0;
    this->preemptions.clear();
}

bool Preemptor::mayPreemptAnywhereFor(std::uint32_t priority, const ObjectiveForecast &forecast) const
{
    return this->mayPreempt && this->unsuccessfulSteps < maxUnsuccessfulSteps && this->preemptions.size() < maxPreemptions
           && mayStopAnywhere(priority, forecast);
}

void Preemptor::preemptFor(const PendingStep &pending, const std::vector<FutureCapacity> &futureCapacities)
{
    if (!this->mayPreempt || this->preemptions.size() >= maxPreemptions) {
        return;
    }
    if (!futureCapacities.empty()) {
        this->preemptOnReserved(pending, futureCapacities);
    } else if (this->mayPreemptAnywhereFor(pending.job->queue().priority, pending.forecast)) {
        this->preemptAnywhere(pending);
    }
}

std::vector<Preemption> Preemptor::drainPreemptions()
{
    return std::exchange(this->preemptions, {});
}

bool Preemptor::mayStopFor(const PendingStep &pending, const FutureCapacity &futureCapacity) const
{
    const bool hasTicket = pending.job->queue().advice == nullptr || futureCapacity.worker->adviceStatus == AdviceStatus::Permitted;
    // If a request is pending, its ticket arrives by the time that the capacity is free.
    return (hasTicket || !this->adviceCache.adviceFor(this->now, pending.key).mayRequest) && futureCapacity.wait <= maxReservationWait;
}

void Preemptor::preemptOnReserved(const PendingStep &pending, const std::vector<FutureCapacity> &futureCapacities)
{
    this->nextPreemption = this->now + preemptionPause;
    const auto mayStop = [&](const FutureCapacity &entry) { return this->mayStopFor(pending, entry); };
    // A gang needs capacity for all its members at the same time.
    if (pending.step->isGang && !std::all_of(futureCapacities.begin(), futureCapacities.end(), mayStop)) {
        return;
    }
    for (const FutureCapacity &entry : futureCapacities) {
        if (!mayStop(entry)) {
            continue;
        }
        for (OccupyingRun *run : entry.runsToStop) {
            if (!std::exchange(run->isStopping, true)) {
                this->preemptions.push_back({run->key, pending.key});
            }
        }
    }
}

void Preemptor::preemptAnywhere(const PendingStep &pending)
{
    this->nextPreemption = this->now + preemptionPause;
    this->capacityIndex.countReleasing();
    std::size_t missing = pending.tasks.size();
    const std::uint32_t service = this->capacityIndex.serviceNumber(pending.job->queue().service);
    for (WorkerCapacity &worker : this->capacityIndex.all()) {
        // Capacity that is free or being released is used before any run is preempted.
        if (missing > 0 && isSuitable(worker, pending, service)) {
            missing -= this->claimCapacity(worker, pending, missing);
        }
    }
    const std::size_t before = this->preemptions.size();
    if (missing > 0) {
        this->stopRuns(pending, missing);
    }
    this->unsuccessfulSteps += missing > 0 && this->preemptions.size() == before ? 1 : 0;
}

void Preemptor::stopRuns(const PendingStep &pending, std::size_t missing)
{
    if (!std::exchange(this->areCandidatesCollected, true)) {
        this->candidates.collect(this->state, this->tracks, this->capacityIndex, [this](const workload::Job &job, std::uint32_t occurrence) {
            return this->forecaster.forecast(job, occurrence, this->wallMillis).status;
        });
    }
    const std::uint32_t service = this->capacityIndex.serviceNumber(pending.job->queue().service);
    this->candidates.visitInOrder(pending.preferredDataCentre, [&](PreemptionCandidate &run) {
        if (isSuitable(*run.worker, pending, service)) {
            run.isChosen = true;
            this->preemptions.push_back({run.key, pending.key});
            this->capacityIndex.markModified(*run.worker);
            run.worker->releasingProcessors += run.milliProcessors;
            missing -= this->claimCapacity(*run.worker, pending, missing);
        }
        return missing > 0 && this->preemptions.size() < maxPreemptions;
    });
}

bool Preemptor::isSuitable(const WorkerCapacity &worker, const PendingStep &pending, std::uint32_t service)
{
    return worker.adviceStatus != AdviceStatus::Forbidden && mayRun(worker, pending, service) && isBelowPerWorkerLimit(worker, pending) && isAcceptable(worker)
           && !hasRecentFailures(worker);
}

std::size_t Preemptor::claimCapacity(WorkerCapacity &worker, const PendingStep &pending, std::size_t missing)
{
    const std::int64_t perTask = pending.step->demand->milliProcessors();
    if (perTask == 0) {
        return missing;
    }
    // If the worker's capacity was reduced below its reservations, released processors cover that deficit first.
    const std::int64_t deficit = std::min<std::int64_t>(0, worker.record->freeMilliProcessors());
    const std::int64_t available = std::max<std::int64_t>(0, worker.freeProcessors) + worker.releasingProcessors + deficit;
    const std::size_t fitting = std::min(missing, static_cast<std::size_t>(std::max<std::int64_t>(0, available / perTask)));
    const std::size_t claimed = isSuspect(worker) ? std::min<std::size_t>(fitting, 1) : fitting;
    if (claimed > 0) {
        this->capacityIndex.markModified(worker);
        worker.testRuns += static_cast<std::int32_t>(claimed);
        worker.releasingProcessors -= perTask * static_cast<std::int64_t>(claimed);
    }
    return claimed;
}

} // namespace paddlepier::planning
