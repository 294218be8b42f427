// Decides which waiting tasks go to which workers.

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

/** A task that needs no advice goes to the best of so many workers with room, which differ little within a data centre. */
constexpr std::size_t leastChoices = 240;
constexpr std::size_t choicesPerTask = 2;

} // namespace

Planner::Planner(const workload::Workload &workloadState,
                 const execution::WorkerViews &workerViews,
                 const execution::RunTracks &runTracks,
                 const execution::TaskBackoff &setbacks,
                 AdviceCache &book,
                 const std::map<std::string, double> &usualRatiosByQueue)
    : adviceCache(book)
    , capacityIndex(workloadState, workerViews, book)
    , isolation(workloadState, runTracks, setbacks, this->capacityIndex)
    , forecaster(usualRatiosByQueue)
    , order(workloadState, this->forecaster)
    , quotaTracker(workloadState)
    , reserver(workloadState, runTracks, this->forecaster, this->capacityIndex)
    , adviceRequester(this->capacityIndex, this->reserver, book)
    , preemptor(workloadState, runTracks, this->forecaster, this->capacityIndex, book)
    , waits(workloadState, setbacks, this->order, this->capacityIndex, this->isolation)
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
        // The data centre of a step is chosen when it comes to wait, not when some piece of room happens to be free.
        const bool isOpen = this->actionFor(now, *waiting) != StepAction::None;
        if (!isOpen && std::exchange(waiting->isDataCentreChosen, true)) {
            continue;
        }
        PendingStep wanted = StepOrder::pendingStep(*waiting, wallMillis);
        this->capacityIndex.beginStep(now, wanted);
        const DataCentreChoice home =
            this->dataCentreSelector.select(wanted, this->capacityIndex, queue.advice ? this->adviceCache.permittedShare(queue.name) : 1.0);
        wanted.preferredDataCentre = home.preferred;
        wanted.fallbackDataCentre = home.fallback;
        waiting->isDataCentreChosen = true;
        if (isOpen) {
            ++this->plannedSteps;
            this->planStep(now, wanted, plan);
        }
    }
    plan.preemptions = this->preemptor.drainPreemptions();
    return plan;
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
    std::size_t worth = 0;
    for (const WaitingStep &waiting : this->order.steps()) {
        const StepAction use = this->actionFor(now, waiting);
        if (use != StepAction::None || !waiting.isDataCentreChosen) {
            steps.push_back(&waiting);
            worth = use == StepAction::Schedule ? steps.size() : worth;
        }
    }
    // What comes after the last step that may act keeps room from nobody.
    steps.resize(worth);
    return steps;
}

Planner::StepAction Planner::actionFor(Timestamp now, const WaitingStep &waiting)
{
    const work::QueueSpecT &queue = waiting.job->queue();
    const work::StepSpecT &step = waiting.step();
    const bool hasRoom = this->capacityIndex.hasCapacityFor(queue.service, step);
    const bool mayServe = this->preemptor.mayPreemptAnywhereFor(queue.priority, waiting.forecast);
    if (mayServe) {
        return StepAction::Schedule;
    }
    const bool isWide = !step.isFilling && this->reserver.isWide(queue.service, step);
    if (!hasRoom && !isWide) {
        return StepAction::None;
    }
    if (!queue.advice) {
        return StepAction::Schedule;
    }
    ++this->examinedSteps;
    const StepAdvice known = this->adviceCache.adviceFor(now, waiting.key);
    const auto fits = [this, &step](std::uint32_t number) {
        const WorkerCapacity *room = this->capacityIndex.findByAdviceNumber(number);
        return room != nullptr && room->fits(step);
    };
    if (this->adviceRequester.mayRequest(known, *queue.advice) || (known.mayHaveTicket && (isWide || this->adviceCache.anyPermitted(now, waiting.key, fits)))) {
        return StepAction::Schedule;
    }
    return known.isPending || isWide ? StepAction::ReserveOnly : StepAction::None;
}

void Planner::collectCandidates(const PendingStep &wanted)
{
    this->candidates.clear();
    const std::uint32_t service = this->capacityIndex.serviceNumber(wanted.job->queue().service);
    const auto add = [&](WorkerCapacity &room) {
        if (room.fits(*wanted.step) && mayRun(room, wanted, service) && isAcceptable(room)) {
            this->evaluate(this->candidates.emplace_back(Candidate{&room, 0}), wanted);
        }
    };
    if (wanted.job->queue().advice == nullptr) {
        const std::size_t enough = leastChoices + choicesPerTask * wanted.tasks.size();
        this->capacityIndex.visitByPreference(wanted, [&](WorkerCapacity &room) {
            add(room);
            return this->candidates.size() < enough;
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

void Planner::evaluate(Candidate &choice, const PendingStep &wanted) const
{
    const bool isOpen = choice.worker->fits(*wanted.step) && isBelowPerWorkerLimit(*choice.worker, wanted);
    choice.penalty = isOpen ? penaltyOf(*choice.worker, wanted) : std::numeric_limits<double>::infinity();
}

void Planner::reserve(Candidate &choice, const PendingStep &wanted, std::int32_t tasks)
{
    this->capacityIndex.reserve(*choice.worker, *wanted.step, tasks);
    this->capacityIndex.countTask(*choice.worker, tasks);
    this->evaluate(choice, wanted);
}

Planner::Candidate *Planner::bestCandidate(const PendingStep &wanted, std::uint32_t index, std::string_view rack)
{
    const workload::Task &task = wanted.progress->tasks[index];
    Candidate *best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (Candidate &choice : this->candidates) {
        const double penalty = choice.penalty + SuspectIsolation::penalty(*choice.worker, task);
        if (penalty >= least || (!rack.empty() && choice.worker->rack() != rack) || !isTrustedFor(*choice.worker, task)) {
            continue;
        }
        const auto &superseded = choice.worker->record->superseded;
        if (!superseded.empty() && superseded.contains({wanted.key.job, wanted.key.occurrence, wanted.key.step, index})) {
            continue;
        }
        best = &choice;
        least = penalty;
    }
    return best;
}

work::PlacementT Planner::placement(const PendingStep &wanted, std::uint32_t task, const workload::Incarnation &worker)
{
    const workload::TaskKey key(wanted.key.job, wanted.key.occurrence, wanted.key.step, task);
    work::PlacementT made;
    made.task = key.record();
    made.run = wanted.job->nextRun(key);
    made.worker = worker.id;
    made.born = worker.born;
    return made;
}

void Planner::planStep(Timestamp now, PendingStep &wanted, Plan &plan)
{
    this->isolation.holdBack(now, wanted);
    this->quotaTracker.limit(wanted);
    if (wanted.tasks.empty()) {
        return;
    }
    this->collectCandidates(wanted);
    const std::size_t waiting = wanted.tasks.size();
    if (wanted.step->isGang) {
        this->planGang(wanted, plan);
    } else {
        this->placeSingly(wanted, plan);
    }
    this->quotaTracker.reserve(wanted, waiting - wanted.tasks.size());
    if (wanted.tasks.empty()) {
        return;
    }
    const std::vector<FutureCapacity> coming = this->reserver.reserveFor(wanted);
    if (wanted.job->queue().advice) {
        std::optional<execution::AdviceRequest> question = this->adviceRequester.request(now, wanted, coming);
        if (question) {
            plan.adviceRequests.push_back(std::move(*question));
        }
    }
    this->preemptor.preemptFor(wanted, coming);
}

void Planner::placeSingly(PendingStep &wanted, Plan &plan)
{
    std::vector<std::uint32_t> left;
    for (const std::uint32_t index : wanted.tasks) {
        Candidate *choice = this->bestCandidate(wanted, index, "");
        if (choice == nullptr) {
            left.push_back(index);
            continue;
        }
        this->reserve(*choice, wanted, 1);
        this->isolation.recordStart(*choice->worker, wanted.progress->tasks[index], *wanted.step);
        plan.placements.push_back(placement(wanted, index, choice->worker->incarnation()));
    }
    wanted.tasks = std::move(left);
}

void Planner::planGang(PendingStep &wanted, Plan &plan)
{
    if (wanted.step->prefersOneRack) {
        std::set<std::string_view> racks;
        for (const Candidate &choice : this->candidates) {
            racks.insert(choice.worker->rack());
        }
        for (const std::string_view rack : racks) {
            if (this->placeGang(wanted, rack, plan)) {
                return;
            }
        }
    }
    this->placeGang(wanted, "", plan);
}

bool Planner::placeGang(PendingStep &wanted, std::string_view rack, Plan &plan)
{
    std::vector<Candidate *> taken;
    for (const std::uint32_t index : wanted.tasks) {
        Candidate *choice = this->bestCandidate(wanted, index, rack);
        if (choice == nullptr) {
            break;
        }
        this->reserve(*choice, wanted, 1);
        taken.push_back(choice);
    }
    if (taken.size() < wanted.tasks.size()) {
        for (Candidate *choice : taken) {
            this->reserve(*choice, wanted, -1);
        }
        return false;
    }
    for (std::size_t number = 0; number < taken.size(); ++number) {
        plan.placements.push_back(placement(wanted, wanted.tasks[number], taken[number]->worker->incarnation()));
    }
    wanted.tasks.clear();
    return true;
}

} // namespace paddlepier::planning
