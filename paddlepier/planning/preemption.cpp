// Which runs make way, for urgent work and for wide tasks.

#include "paddlepier/planning/preemption.h"

#include "paddlepier/planning/eligibility.h"

#include <utility>

namespace paddlepier::planning
{

namespace
{

/** Most preemptions of one plan, so that a burst doesn't stop more than the next plan finds needed. */
constexpr std::size_t mostPreemptions = 24;

/**
 * A plan looks for runs to stop until so many steps have found none: each looks through all runs, and where there are none for these
 * the others, which come later, rarely find any.
 */
constexpr std::size_t mostFruitlessSteps = 8;

/**
 * Least pause between two plans that make runs give way: those that stop need some of it, and a plan that only passes over steps
 * which wait for an answer costs next to nothing.
 */
constexpr Duration preemptionPause = absl::Milliseconds(20);

/** What is late already has less to gain by a stop than the stopped run's job has to lose. */
bool mayStopAnywhere(std::uint32_t priority, const ObjectiveForecast &prospect)
{
    return priority == 0 && prospect.status == ObjectiveStatus::InTime;
}

} // namespace

void PreemptionCandidates::addOccurrence(const workload::Job &job, std::uint32_t occurrence, const execution::RunTracks &tracks, CapacityIndex &rooms)
{
    const std::vector<workload::Step> &steps = job.occurrences()[occurrence].steps;
    for (std::uint32_t number = 0; number < steps.size(); ++number) {
        const work::StepSpecT &step = job.stepSpec(number);
        if (steps[number].runningTasks == 0 || !isCheapToPreempt(step)) {
            continue;
        }
        for (std::uint32_t index = 0; index < steps[number].tasks.size(); ++index) {
            const workload::Task &task = steps[number].tasks[index];
            WorkerCapacity *room = task.hasRun() ? rooms.find(task.worker) : nullptr;
            if (room == nullptr) {
                continue;
            }
            workload::TaskKey key(job.id(), occurrence, number, index);
            const auto track = tracks.find(key);
            if (track != tracks.end() && track->second.phase == execution::RunPhase::Running) {
                this->runs.push_back(
                    {std::move(key), room, job.queue().priority, step.demand->milliProcessors(), ObjectiveStatus::InTime, job.submittedAtMillis(), false});
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
                     const ObjectiveForecaster &jobProspects,
                     CapacityIndex &planRooms,
                     const AdviceCache &book)
    : state(workloadState)
    , tracks(runTracks)
    , forecaster(jobProspects)
    , capacityIndex(planRooms)
    , adviceCache(book)
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

bool Preemptor::mayPreemptAnywhereFor(std::uint32_t priority, const ObjectiveForecast &prospect) const
{
    return this->mayPreempt && this->unsuccessfulSteps < mostFruitlessSteps && this->preemptions.size() < mostPreemptions
           && mayStopAnywhere(priority, prospect);
}

void Preemptor::preemptFor(const PendingStep &wanted, const std::vector<FutureCapacity> &coming)
{
    if (!this->mayPreempt || this->preemptions.size() >= mostPreemptions) {
        return;
    }
    if (!coming.empty()) {
        this->preemptOnReserved(wanted, coming);
    } else if (this->mayPreemptAnywhereFor(wanted.job->queue().priority, wanted.forecast)) {
        this->preemptAnywhere(wanted);
    }
}

std::vector<Preemption> Preemptor::drainPreemptions()
{
    return std::exchange(this->preemptions, {});
}

bool Preemptor::mayStopFor(const PendingStep &wanted, const FutureCapacity &coming) const
{
    const bool hasTicket = wanted.job->queue().advice == nullptr || coming.worker->adviceStatus == AdviceStatus::Permitted;
    // While an answer is awaited the ticket is there by the time that the room is.
    return (hasTicket || !this->adviceCache.adviceFor(this->now, wanted.key).mayRequest) && coming.wait <= maxReservationWait;
}

void Preemptor::preemptOnReserved(const PendingStep &wanted, const std::vector<FutureCapacity> &coming)
{
    this->nextPreemption = this->now + preemptionPause;
    const auto isUseful = [&](const FutureCapacity &entry) { return this->mayStopFor(wanted, entry); };
    // A gang needs the room of all its members at the same time.
    if (wanted.step->isGang && !std::all_of(coming.begin(), coming.end(), isUseful)) {
        return;
    }
    for (const FutureCapacity &entry : coming) {
        if (!isUseful(entry)) {
            continue;
        }
        for (OccupyingRun *run : entry.runsToStop) {
            if (!std::exchange(run->isStopping, true)) {
                this->preemptions.push_back({run->key, wanted.key});
            }
        }
    }
}

void Preemptor::preemptAnywhere(const PendingStep &wanted)
{
    this->nextPreemption = this->now + preemptionPause;
    this->capacityIndex.countReleasing(this->tracks);
    std::size_t missing = wanted.tasks.size();
    const std::uint32_t service = this->capacityIndex.serviceNumber(wanted.job->queue().service);
    for (WorkerCapacity &room : this->capacityIndex.all()) {
        // Room that is free or on its way serves first.
        if (missing > 0 && isSuitable(room, wanted, service)) {
            missing -= this->claimCapacity(room, wanted, missing);
        }
    }
    const std::size_t before = this->preemptions.size();
    if (missing > 0) {
        this->stopRuns(wanted, missing);
    }
    this->unsuccessfulSteps += missing > 0 && this->preemptions.size() == before ? 1 : 0;
}

void Preemptor::stopRuns(const PendingStep &wanted, std::size_t missing)
{
    if (!std::exchange(this->areCandidatesCollected, true)) {
        this->candidates.collect(this->state, this->tracks, this->capacityIndex, [this](const workload::Job &job, std::uint32_t occurrence) {
            return this->forecaster.forecast(job, occurrence, this->wallMillis).status;
        });
    }
    const std::uint32_t service = this->capacityIndex.serviceNumber(wanted.job->queue().service);
    this->candidates.visitInOrder(wanted.preferredDataCentre, [&](PreemptionCandidate &run) {
        if (isSuitable(*run.worker, wanted, service)) {
            run.isChosen = true;
            this->preemptions.push_back({run.key, wanted.key});
            this->capacityIndex.markModified(*run.worker);
            run.worker->releasingProcessors += run.milliProcessors;
            missing -= this->claimCapacity(*run.worker, wanted, missing);
        }
        return missing > 0 && this->preemptions.size() < mostPreemptions;
    });
}

bool Preemptor::isSuitable(const WorkerCapacity &room, const PendingStep &wanted, std::uint32_t service)
{
    return room.adviceStatus != AdviceStatus::Forbidden && mayRun(room, wanted, service) && isBelowPerWorkerLimit(room, wanted)
           && room.view->consecutiveFailures == 0;
}

std::size_t Preemptor::claimCapacity(WorkerCapacity &room, const PendingStep &wanted, std::size_t missing)
{
    const std::int64_t each = wanted.step->demand->milliProcessors();
    if (each == 0) {
        return missing;
    }
    // What a room has shrunk by is given back before anything is free.
    const std::int64_t shortage = std::min<std::int64_t>(0, room.record->freeMilliProcessors());
    const std::int64_t available = std::max<std::int64_t>(0, room.freeProcessors) + room.releasingProcessors + shortage;
    const std::size_t claimed = std::min(missing, static_cast<std::size_t>(std::max<std::int64_t>(0, available / each)));
    if (claimed > 0) {
        this->capacityIndex.markModified(room);
        room.releasingProcessors -= each * static_cast<std::int64_t>(claimed);
    }
    return claimed;
}

} // namespace paddlepier::planning
