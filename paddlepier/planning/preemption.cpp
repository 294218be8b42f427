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
bool mayStopAnywhere(std::uint32_t priority, const Prospect &prospect)
{
    return priority == 0 && prospect.outlook == Outlook::InTime;
}

} // namespace

void YieldingRuns::addOccurrence(const workload::Job &job, std::uint32_t occurrence, const execution::RunTracks &tracks, Rooms &rooms)
{
    const std::vector<workload::Step> &steps = job.occurrences()[occurrence].steps;
    for (std::uint32_t number = 0; number < steps.size(); ++number) {
        const work::StepSpecT &step = job.stepSpec(number);
        if (steps[number].runningTasks == 0 || !losesLittleByAStop(step)) {
            continue;
        }
        for (std::uint32_t index = 0; index < steps[number].tasks.size(); ++index) {
            const workload::Task &task = steps[number].tasks[index];
            Room *room = task.hasRun() ? rooms.find(task.worker) : nullptr;
            if (room == nullptr) {
                continue;
            }
            workload::TaskKey key(job.id(), occurrence, number, index);
            const auto track = tracks.find(key);
            if (track != tracks.end() && track->second.phase == execution::RunPhase::Running) {
                this->runs.push_back(
                    {std::move(key), room, job.queue().priority, step.demand->milliProcessors(), Outlook::InTime, job.submittedAtMillis(), false});
            }
        }
    }
}

void YieldingRuns::sort()
{
    std::sort(this->runs.begin(), this->runs.end(), [](const YieldingRun &left, const YieldingRun &right) {
        const auto rank = [](const YieldingRun &run) { return std::tie(run.outlook, run.submittedAtMillis); };
        if (rank(left) != rank(right)) {
            return rank(left) > rank(right);
        }
        return std::tie(left.room, left.key) < std::tie(right.room, right.key);
    });
}

MakingWay::MakingWay(
    const workload::Workload &workloadState, const execution::RunTracks &runTracks, const Prospects &jobProspects, Rooms &planRooms, const AdviceBook &book)
    : state(workloadState)
    , tracks(runTracks)
    , prospects(jobProspects)
    , rooms(planRooms)
    , advice(book)
{
}

void MakingWay::begin(Timestamp at, std::int64_t wall)
{
    this->now = at;
    this->wallMillis = wall;
    this->isYieldingCollected = false;
    this->isOpen = at >= this->nextPreemption;
    this->fruitlessSteps = 0;
    this->preempted.clear();
}

bool MakingWay::mayServe(std::uint32_t priority, const Prospect &prospect) const
{
    return this->isOpen && this->fruitlessSteps < mostFruitlessSteps && this->preempted.size() < mostPreemptions && mayStopAnywhere(priority, prospect);
}

void MakingWay::makeRoom(const WantedStep &wanted, const std::vector<ComingRoom> &coming)
{
    if (!this->isOpen || this->preempted.size() >= mostPreemptions) {
        return;
    }
    if (!coming.empty()) {
        this->makeComing(wanted, coming);
    } else if (this->mayServe(wanted.job->queue().priority, wanted.prospect)) {
        this->makeAnywhere(wanted);
    }
}

std::vector<Preemption> MakingWay::takePreempted()
{
    return std::exchange(this->preempted, {});
}

bool MakingWay::mayStopFor(const WantedStep &wanted, const ComingRoom &coming) const
{
    const bool hasTicket = wanted.job->queue().advice == nullptr || coming.room->standing == Standing::Permitted;
    // While an answer is awaited the ticket is there by the time that the room is.
    return (hasTicket || !this->advice.about(this->now, wanted.key).mayAsk) && coming.wait <= soonEnough;
}

void MakingWay::makeComing(const WantedStep &wanted, const std::vector<ComingRoom> &coming)
{
    this->nextPreemption = this->now + preemptionPause;
    const auto isUseful = [&](const ComingRoom &entry) { return this->mayStopFor(wanted, entry); };
    // A gang needs the room of all its members at the same time.
    if (wanted.step->isGang && !std::all_of(coming.begin(), coming.end(), isUseful)) {
        return;
    }
    for (const ComingRoom &entry : coming) {
        if (!isUseful(entry)) {
            continue;
        }
        for (HeldRun *run : entry.stops) {
            if (!std::exchange(run->isStopping, true)) {
                this->preempted.push_back({run->key, wanted.key});
            }
        }
    }
}

void MakingWay::makeAnywhere(const WantedStep &wanted)
{
    this->nextPreemption = this->now + preemptionPause;
    this->rooms.countComing(this->tracks);
    std::size_t missing = wanted.tasks.size();
    const std::uint32_t service = this->rooms.serviceNumber(wanted.job->queue().service);
    for (Room &room : this->rooms.all()) {
        // Room that is free or on its way serves first.
        if (missing > 0 && mayMakeRoom(room, wanted, service)) {
            missing -= this->claimComingRoom(room, wanted, missing);
        }
    }
    const std::size_t before = this->preempted.size();
    if (missing > 0) {
        this->stopRuns(wanted, missing);
    }
    this->fruitlessSteps += missing > 0 && this->preempted.size() == before ? 1 : 0;
}

void MakingWay::stopRuns(const WantedStep &wanted, std::size_t missing)
{
    if (!std::exchange(this->isYieldingCollected, true)) {
        this->yielding.collect(this->state, this->tracks, this->rooms, [this](const workload::Job &job, std::uint32_t occurrence) {
            return this->prospects.of(job, occurrence, this->wallMillis).outlook;
        });
    }
    const std::uint32_t service = this->rooms.serviceNumber(wanted.job->queue().service);
    this->yielding.visitInOrder(wanted.home, [&](YieldingRun &run) {
        if (mayMakeRoom(*run.room, wanted, service)) {
            run.isChosen = true;
            this->preempted.push_back({run.key, wanted.key});
            this->rooms.touch(*run.room);
            run.room->comingProcessors += run.milliProcessors;
            missing -= this->claimComingRoom(*run.room, wanted, missing);
        }
        return missing > 0 && this->preempted.size() < mostPreemptions;
    });
}

bool MakingWay::mayMakeRoom(const Room &room, const WantedStep &wanted, std::uint32_t service)
{
    return room.standing != Standing::Forbidden && mayRun(room, wanted, service) && isBelowBound(room, wanted) && room.view->failedInRow == 0;
}

std::size_t MakingWay::claimComingRoom(Room &room, const WantedStep &wanted, std::size_t missing)
{
    const std::int64_t each = wanted.step->demand->milliProcessors();
    if (each == 0) {
        return missing;
    }
    // What a room has shrunk by is given back before anything is free.
    const std::int64_t shortage = std::min<std::int64_t>(0, room.worker->freeMilliProcessors());
    const std::int64_t available = std::max<std::int64_t>(0, room.processors) + room.comingProcessors + shortage;
    const std::size_t claimed = std::min(missing, static_cast<std::size_t>(std::max<std::int64_t>(0, available / each)));
    if (claimed > 0) {
        this->rooms.touch(room);
        room.comingProcessors -= each * static_cast<std::int64_t>(claimed);
    }
    return claimed;
}

} // namespace paddlepier::planning
