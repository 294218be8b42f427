// Decides which waiting tasks are placed on which workers.

#include "paddlepier/planning/planner.h"

#include "paddlepier/planning/eligibility.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace paddlepier::planning
{

namespace
{

/**
 * A task that needs no advice is placed on the best of this many workers with free capacity. Workers of one data centre differ too little
 * to be worth evaluating all of them.
 */
constexpr std::size_t minCandidates = 240;
constexpr std::size_t candidatesPerTask = 2;

} // namespace

Planner::Planner(const workload::Workload &workloadState,
                 const execution::WorkerViews &workerViews,
                 const execution::RunTracks &runTracks,
                 const execution::TaskBackoff &taskBackoff,
                 AdviceCache &cache,
                 const std::map<std::string, double> &typicalRatiosByQueue)
    : adviceCache(cache)
    , capacityIndex(workloadState, workerViews, runTracks, cache)
    , isolation(workloadState, runTracks, taskBackoff, this->capacityIndex)
    , forecaster(typicalRatiosByQueue)
    , order(workloadState, this->forecaster)
    , quotaTracker(workloadState)
    , reserver(workloadState, runTracks, this->forecaster, this->capacityIndex)
    , adviceRequester(this->capacityIndex, this->reserver, cache)
    , preemptor(workloadState, runTracks, this->forecaster, this->capacityIndex, cache)
    , waits(workloadState, taskBackoff, this->order, this->capacityIndex, this->isolation)
{
}

Plan Planner::plan(Timestamp now, std::int64_t wallMillis, const PlanBudget &budget)
{
    Plan plan;
    this->adviceRequester.begin(budget.adviceBudget);
    this->preemptor.begin(now, wallMillis);
    this->order.update(wallMillis);
    if (this->order.steps().empty()) {
        return plan;
    }
    this->capacityIndex.refresh(now);
    this->isolation.begin(now);
    this->quotaTracker.begin();
    this->reserver.begin(now, wallMillis);
    for (const WaitingStep *waiting : this->actionableSteps(now)) {
        if (plan.placements.size() >= budget.placements) {
            break;
        }
        const work::QueueSpecT &queue = waiting->job->queue();
        // A step's data centre is chosen as soon as it waits; chosen later, it would depend on where capacity happens to be free.
        const bool mayProgress = this->actionFor(now, *waiting) != StepAction::None;
        if (!mayProgress && std::exchange(waiting->isDataCentreChosen, true)) {
            continue;
        }
        PendingStep pending = StepOrder::pendingStep(*waiting, wallMillis);
        this->capacityIndex.beginStep(now, pending);
        const DataCentreChoice dataCentres =
            this->dataCentreSelector.select(pending, this->capacityIndex, queue.advice ? this->adviceCache.permittedShare(queue.name) : 1.0);
        pending.preferredDataCentre = dataCentres.preferred;
        pending.fallbackDataCentre = dataCentres.fallback;
        waiting->isDataCentreChosen = true;
        if (mayProgress) {
            ++this->plannedSteps;
            this->planStep(now, pending, plan);
        }
    }
    plan.preemptions = this->preemptor.drainPreemptions();
    return plan;
}

StartBar Planner::startBar(Timestamp now, const workload::TaskKey &task, const workload::Incarnation &worker) const
{
    return this->capacityIndex.startBar(now, task, worker);
}

void Planner::markViewChanged(const workload::Incarnation &worker)
{
    this->capacityIndex.markViewChanged(worker);
}

std::vector<LongWait> Planner::findLongWaits(Timestamp now, std::int64_t wallMillis)
{
    return this->waits.scan(now, wallMillis);
}

const LongWait *Planner::longWaitOf(const std::string &job) const
{
    return this->waits.find(job);
}

PlanWork Planner::work() const
{
    return {this->capacityIndex.reads(), this->order.reorderedJobs(), this->examinedSteps, this->plannedSteps, this->reserver.forecastCount()};
}

std::set<std::string> Planner::drainTeamsAtQuota()
{
    return this->quotaTracker.drainTeamsAtQuota();
}

std::vector<const WaitingStep *> Planner::actionableSteps(Timestamp now)
{
    std::vector<const WaitingStep *> steps;
    std::size_t scheduledEnd = 0;
    for (const WaitingStep &waiting : this->order.steps()) {
        const StepAction action = this->actionFor(now, waiting);
        if (action != StepAction::None || !waiting.isDataCentreChosen) {
            steps.push_back(&waiting);
            scheduledEnd = action == StepAction::Schedule ? steps.size() : scheduledEnd;
        }
    }
    // A reservation is only needed if a later step could take the capacity.
    steps.resize(scheduledEnd);
    return steps;
}

Planner::StepAction Planner::actionFor(Timestamp now, const WaitingStep &waiting)
{
    const work::QueueSpecT &queue = waiting.job->queue();
    const work::StepSpecT &step = waiting.step();
    const bool hasCapacity = this->capacityIndex.hasCapacityFor(queue.service, step);
    const bool mayPreempt = this->preemptor.mayPreemptAnywhereFor(queue.priority, waiting.forecast);
    if (mayPreempt) {
        return StepAction::Schedule;
    }
    const bool isWide = !step.isFilling && this->reserver.isWide(queue.service, step);
    if (!hasCapacity && !isWide) {
        return StepAction::None;
    }
    if (!queue.advice) {
        return StepAction::Schedule;
    }
    ++this->examinedSteps;
    const StepAdvice stepAdvice = this->adviceCache.adviceFor(now, waiting.key);
    const auto fits = [this, &step](std::uint32_t number) {
        const WorkerCapacity *worker = this->capacityIndex.findByAdviceNumber(number);
        return worker != nullptr && worker->fits(step);
    };
    if (this->adviceRequester.mayRequest(stepAdvice, *queue.advice)
        || (stepAdvice.mayHaveTicket && (isWide || this->adviceCache.anyPermitted(now, waiting.key, fits)))) {
        return StepAction::Schedule;
    }
    return stepAdvice.isPending || isWide ? StepAction::ReserveOnly : StepAction::None;
}

void Planner::collectCandidates(const PendingStep &pending)
{
    this->candidates.clear();
    const std::uint32_t service = this->capacityIndex.serviceNumber(pending.job->queue().service);
    const auto add = [&](WorkerCapacity &worker) {
        if (worker.fits(*pending.step) && mayRun(worker, pending, service) && isAcceptable(worker)) {
            this->evaluate(this->candidates.emplace_back(Candidate{&worker, 0}), pending);
        }
    };
    if (pending.job->queue().advice == nullptr) {
        const std::size_t maxCandidates = minCandidates + candidatesPerTask * pending.tasks.size();
        this->capacityIndex.visitByPreference(pending, [&](WorkerCapacity &worker) {
            add(worker);
            return this->candidates.size() < maxCandidates;
        });
        return;
    }
    std::vector<WorkerCapacity> &all = this->capacityIndex.all();
    for (const std::uint32_t number : this->capacityIndex.advisedWorkers()) {
        if (all[number].adviceStatus == AdviceStatus::Permitted) {
            add(all[number]);
        }
    }
}

void Planner::evaluate(Candidate &candidate, const PendingStep &pending) const
{
    const bool isAvailable = candidate.worker->fits(*pending.step) && isBelowPerWorkerLimit(*candidate.worker, pending);
    candidate.penalty = isAvailable ? penaltyOf(*candidate.worker, pending) : std::numeric_limits<double>::infinity();
}

void Planner::reserve(Candidate &candidate, const PendingStep &pending, std::int32_t tasks)
{
    this->capacityIndex.reserve(*candidate.worker, *pending.step, tasks);
    candidate.worker->testRuns += tasks;
    this->capacityIndex.countTask(*candidate.worker, tasks);
    this->evaluate(candidate, pending);
}

Planner::Candidate *Planner::bestCandidate(const PendingStep &pending, std::uint32_t index, std::string_view rack)
{
    const workload::Task &task = pending.progress->tasks[index];
    Candidate *best = nullptr;
    double lowest = std::numeric_limits<double>::infinity();
    for (Candidate &candidate : this->candidates) {
        const double penalty = candidate.penalty + SuspectIsolation::penalty(*candidate.worker, task);
        if (penalty >= lowest || (!rack.empty() && candidate.worker->rack() != rack) || !isTrustedFor(*candidate.worker, task)) {
            continue;
        }
        const auto &superseded = candidate.worker->record->superseded;
        if (!superseded.empty() && superseded.contains({pending.key.job, pending.key.occurrence, pending.key.step, index})) {
            continue;
        }
        best = &candidate;
        lowest = penalty;
    }
    return best;
}

work::PlacementT Planner::placement(const PendingStep &pending, std::uint32_t task, const workload::Incarnation &worker)
{
    const workload::TaskKey key(pending.key.job, pending.key.occurrence, pending.key.step, task);
    work::PlacementT result;
    result.task = key.record();
    result.run = pending.job->nextRun(key);
    result.worker = worker.id;
    result.born = worker.born;
    return result;
}

void Planner::planStep(Timestamp now, PendingStep &pending, Plan &plan)
{
    this->isolation.holdBack(now, pending);
    this->quotaTracker.limit(pending);
    if (pending.tasks.empty()) {
        return;
    }
    this->collectCandidates(pending);
    const std::size_t waiting = pending.tasks.size();
    if (pending.step->isGang) {
        this->planGang(pending, plan);
    } else {
        this->placeSingly(pending, plan);
    }
    this->quotaTracker.reserve(pending, waiting - pending.tasks.size());
    if (pending.tasks.empty()) {
        return;
    }
    const std::vector<FutureCapacity> futureCapacities = this->reserver.reserveFor(pending);
    if (pending.job->queue().advice) {
        std::optional<execution::AdviceRequest> request = this->adviceRequester.request(now, pending, futureCapacities);
        if (request) {
            plan.adviceRequests.push_back(std::move(*request));
        }
    }
    this->preemptor.preemptFor(pending, futureCapacities);
}

void Planner::placeSingly(PendingStep &pending, Plan &plan)
{
    std::vector<std::uint32_t> remaining;
    for (const std::uint32_t index : pending.tasks) {
        Candidate *candidate = this->bestCandidate(pending, index, "");
        if (candidate == nullptr) {
            remaining.push_back(index);
            continue;
        }
        this->reserve(*candidate, pending, 1);
        this->isolation.recordStart(*candidate->worker, pending.progress->tasks[index], *pending.step);
        plan.placements.push_back(placement(pending, index, candidate->worker->incarnation()));
    }
    pending.tasks = std::move(remaining);
}

void Planner::planGang(PendingStep &pending, Plan &plan)
{
    if (pending.step->prefersOneRack) {
        std::set<std::string_view> racks;
        for (const Candidate &candidate : this->candidates) {
            racks.insert(candidate.worker->rack());
        }
        for (const std::string_view rack : racks) {
            if (this->placeGang(pending, rack, plan)) {
                return;
            }
        }
    }
    this->placeGang(pending, "", plan);
}

bool Planner::placeGang(PendingStep &pending, std::string_view rack, Plan &plan)
{
    std::vector<Candidate *> chosen;
    for (const std::uint32_t index : pending.tasks) {
        Candidate *candidate = this->bestCandidate(pending, index, rack);
        if (candidate == nullptr) {
            break;
        }
        this->reserve(*candidate, pending, 1);
        chosen.push_back(candidate);
    }
    if (chosen.size() < pending.tasks.size()) {
        for (Candidate *candidate : chosen) {
            this->reserve(*candidate, pending, -1);
        }
        return false;
    }
    for (std::size_t number = 0; number < chosen.size(); ++number) {
        plan.placements.push_back(placement(pending, pending.tasks[number], chosen[number]->worker->incarnation()));
    }
    pending.tasks.clear();
    return true;
}

} // namespace paddlepier::planning
