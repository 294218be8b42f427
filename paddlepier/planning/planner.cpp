// Decides which waiting tasks go to which workers.

#include "paddlepier/planning/planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace paddlepier::planning
{

namespace
{

using workload::Task;

/** Failed ends in a row after which a worker gets no work for a while. */
constexpr std::uint32_t suspiciousFailures = 2;

/** Most workers that one question names; the policy service takes a hundred. */
constexpr std::size_t mostWorkersAsked = 60;

/** Workers asked about beyond what the share of permitted ones makes likely to be enough. */
constexpr double askedSurplus = 1.3;
constexpr std::size_t leastWorkersAsked = 3;

/**
 * A question costs a fixed time and a little for each worker; naming more workers until they make up this part of the fixed
 * time saves later questions.
 */
constexpr double marginalShare = 0.35;

/** Most preemptions of one plan, so that a burst doesn't stop more than the next plan finds needed. */
constexpr std::size_t mostPreemptions = 24;

/** A label that names the rack rather than the kind: it has digits after a dash, as in "r1-3". */
std::string rackOf(const workload::Worker &worker)
{
    return worker.registration.labels.size() < 2 ? "" : worker.registration.labels.back();
}

} // namespace

Planner::Planner(const workload::Workload &workloadState,
                 const std::map<std::string, execution::WorkerView> &workerViews,
                 const execution::RunTracks &runTracks,
                 AdviceBook &book,
                 const std::map<std::string, double> &usualRatiosByQueue)
    : state(workloadState)
    , views(workerViews)
    , tracks(runTracks)
    , advice(book)
    , usualRatios(usualRatiosByQueue)
{
}

Plan Planner::plan(Timestamp at, std::int64_t wall)
{
    this->now = at;
    this->wallMillis = wall;
    Plan plan;
    std::vector<WantedStep> steps = this->collectSteps();
    if (steps.empty()) {
        return plan;
    }
    this->collectRooms();
    for (WantedStep &wanted : steps) {
        wanted.home = homeOf(wanted, this->rooms);
        this->planStep(wanted, plan);
    }
    return plan;
}

void Planner::collectRooms()
{
    this->rooms.clear();
    const bool mayAvoidOverdue = this->areFewOverdue();
    for (const auto &[id, worker] : this->state.workers()) {
        const auto view = this->views.find(id);
        const bool isUsable = view != this->views.end() && view->second.isReachable(this->now) && !worker.registration.isDraining
                              && view->second.startsBlockedUntil <= this->now && !(mayAvoidOverdue && view->second.isOverdue(this->now));
        if (!isUsable) {
            continue;
        }
        const work::Demand &capacity = *worker.registration.capacity;
        Room room;
        room.worker = &worker;
        room.view = &view->second;
        room.rack = rackOf(worker);
        room.isOnProbation = view->second.failedInRow >= suspiciousFailures && view->second.suspectUntil <= this->now;
        room.processors = worker.freeMilliProcessors();
        room.memory = static_cast<std::int64_t>(capacity.memoryMegabytes()) - static_cast<std::int64_t>(worker.reservedMemoryMegabytes);
        room.accelerators = static_cast<std::int64_t>(capacity.accelerators()) - static_cast<std::int64_t>(worker.reservedAccelerators);
        for (const workload::TaskKey &key : worker.runs) {
            this->countRun(room, key);
        }
        this->rooms.push_back(std::move(room));
    }
}

bool Planner::areFewOverdue() const
{
    const auto overdue = std::count_if(this->views.begin(), this->views.end(), [this](const auto &entry) { return entry.second.isOverdue(this->now); });
    // Where most answers are late it is this process that is slow, or cut off.
    return static_cast<std::size_t>(overdue) * 2 < this->views.size();
}

void Planner::countRun(Room &room, const workload::TaskKey &key) const
{
    const work::StepSpecT &step = this->state.findJob(key.job)->stepSpec(key.step);
    room.serving += step.targetLatencyMillis > 0 ? 1 : 0;
    room.filling += step.isFilling ? 1 : 0;
    const auto track = this->tracks.find(key);
    if (track != this->tracks.end() && track->second.phase == execution::RunPhase::Stopping) {
        room.comingProcessors += step.isFilling ? 0 : step.demand->milliProcessors();
        room.comingMemory += step.demand->memoryMegabytes();
    }
}

std::vector<WantedStep> Planner::collectSteps() const
{
    std::vector<WantedStep> wanted;
    for (const std::string &id : this->state.activeJobs()) {
        const workload::Job &job = *this->state.findJob(id);
        if (job.hasEnded()) {
            continue;
        }
        for (std::uint32_t occurrence = 0; occurrence < job.occurrences().size(); ++occurrence) {
            if (job.dueMillis(occurrence) > this->wallMillis) {
                break;
            }
            for (std::uint32_t step = 0; step < job.spec().steps.size(); ++step) {
                this->collectStep(wanted, job, occurrence, step);
            }
        }
    }
    std::stable_sort(wanted.begin(), wanted.end(), [](const WantedStep &left, const WantedStep &right) {
        const auto rank = [](const WantedStep &entry) { return std::tuple(entry.job->queue().priority, entry.outlook, entry.job->submittedAtMillis()); };
        return rank(left) < rank(right);
    });
    return wanted;
}

void Planner::collectStep(std::vector<WantedStep> &wanted, const workload::Job &job, std::uint32_t occurrence, std::uint32_t step) const
{
    const workload::Step &stepState = job.occurrences()[occurrence].steps[step];
    if (stepState.isDone() || stepState.waitingTasks() == 0 || !job.isReady(occurrence, step)) {
        return;
    }
    WantedStep entry;
    entry.job = &job;
    entry.key = {job.id(), occurrence, step};
    entry.step = &job.stepSpec(step);
    if (entry.step->isGang && stepState.runningTasks > 0) {
        return;
    }
    for (std::uint32_t index = 0; index < stepState.tasks.size(); ++index) {
        const Task &task = stepState.tasks[index];
        if (task.hasRun()) {
            ++entry.onWorker[task.worker];
        } else if (!task.isDone) {
            entry.tasks.push_back(index);
        }
    }
    if (entry.step->mayRunCopies && entry.step->mostPerWorker > 0) {
        this->countSuperseded(entry);
    }
    if (!entry.tasks.empty()) {
        // What is to last has no end to meet.
        entry.outlook = entry.step->isLasting ? Outlook::InTime : this->outlookOfOccurrence(job, occurrence);
        wanted.push_back(std::move(entry));
    }
}

Outlook Planner::outlookOfOccurrence(const workload::Job &job, std::uint32_t occurrence) const
{
    const auto usual = this->usualRatios.find(job.queue().name);
    return outlookOf(job, occurrence, this->wallMillis, usual == this->usualRatios.end() ? 1.0 : usual->second);
}

void Planner::countSuperseded(WantedStep &wanted) const
{
    const workload::TaskKey first(wanted.key.job, wanted.key.occurrence, wanted.key.step, 0);
    for (const auto &[id, worker] : this->state.workers()) {
        for (auto run = worker.superseded.lower_bound(first); run != worker.superseded.end() && run->first.stepKey() == wanted.key; ++run) {
            ++wanted.onWorker[id];
        }
    }
}

bool Planner::mayRun(const Room &room, const WantedStep &wanted) const
{
    const work::RegisterWorkerT &registration = room.worker->registration;
    const work::ServiceSpecT *service = this->state.findService(registration.service);
    return registration.service == wanted.job->queue().service && (service == nullptr || !service->isSpare)
           && (wanted.step->requiredLabel.empty() || room.worker->hasLabel(wanted.step->requiredLabel));
}

bool Planner::isTrusted(const Room &room, const Task &task) const
{
    // A task that has failed already must not use up its attempts on a worker that may be the cause.
    return task.failures > 0 && !room.isOnProbation ? room.view->failedInRow == 0 : this->isAcceptable(room);
}

bool Planner::isAcceptable(const Room &room) const
{
    if (room.view->failedInRow < suspiciousFailures) {
        return true;
    }
    // After its time out a suspicious worker shows itself by one run at a time.
    return room.isOnProbation && room.worker->runs.empty();
}

bool Planner::isPermitted(const Room &room, const WantedStep &wanted) const
{
    return !wanted.job->queue().advice || this->advice.validTicket(this->now, wanted.key, room.worker->registration.id) != nullptr;
}

bool Planner::isBelowBound(const Room &room, const WantedStep &wanted) const
{
    if (wanted.step->mostPerWorker == 0) {
        return true;
    }
    const auto found = wanted.onWorker.find(room.worker->registration.id);
    return found == wanted.onWorker.end() || found->second < wanted.step->mostPerWorker;
}

Room *Planner::bestRoom(const WantedStep &wanted, std::uint32_t index, const std::string &rack)
{
    const workload::TaskKey key(wanted.key.job, wanted.key.occurrence, wanted.key.step, index);
    const Task &task = wanted.job->task(key);
    Room *best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (Room &room : this->rooms) {
        const bool isRightRack = rack.empty() || room.rack == rack;
        if (!isRightRack || !room.fits(*wanted.step) || !this->mayRun(room, wanted) || !this->isBelowBound(room, wanted) || !this->isTrusted(room, task)
            || !this->isPermitted(room, wanted) || room.worker->superseded.contains(key)) {
            continue;
        }
        const double penalty = penaltyOf(room, wanted);
        if (penalty < least) {
            best = &room;
            least = penalty;
        }
    }
    return best;
}

work::PlacementT Planner::placement(const WantedStep &wanted, std::uint32_t task, const std::string &worker)
{
    const workload::TaskKey key(wanted.key.job, wanted.key.occurrence, wanted.key.step, task);
    work::PlacementT made;
    made.task = key.record();
    made.run = wanted.job->nextRun(key);
    made.worker = worker;
    return made;
}

void Planner::planStep(WantedStep &wanted, Plan &plan)
{
    if (wanted.step->isGang) {
        this->planGang(wanted, plan);
    } else {
        this->placeSingly(wanted, plan);
    }
    if (wanted.tasks.empty()) {
        return;
    }
    if (wanted.job->queue().advice) {
        this->askAdvice(wanted, plan);
    }
    if (wanted.job->queue().priority == 0) {
        this->preemptFor(wanted, plan);
    }
}

void Planner::placeSingly(WantedStep &wanted, Plan &plan)
{
    std::vector<std::uint32_t> left;
    for (const std::uint32_t index : wanted.tasks) {
        Room *room = this->bestRoom(wanted, index, "");
        if (room == nullptr) {
            left.push_back(index);
            continue;
        }
        room->take(*wanted.step);
        ++wanted.onWorker[room->worker->registration.id];
        plan.placements.push_back(placement(wanted, index, room->worker->registration.id));
    }
    wanted.tasks = std::move(left);
}

void Planner::planGang(WantedStep &wanted, Plan &plan)
{
    std::vector<std::string> racks{""};
    if (wanted.step->prefersOneRack) {
        std::vector<std::string> known;
        std::transform(this->rooms.begin(), this->rooms.end(), std::back_inserter(known), [](const Room &room) { return room.rack; });
        std::sort(known.begin(), known.end());
        known.erase(std::unique(known.begin(), known.end()), known.end());
        racks.insert(racks.begin(), known.begin(), known.end());
    }
    for (const std::string &rack : racks) {
        std::vector<Room *> taken;
        for (const std::uint32_t index : wanted.tasks) {
            Room *room = this->bestRoom(wanted, index, rack);
            if (room == nullptr) {
                break;
            }
            room->take(*wanted.step);
            ++wanted.onWorker[room->worker->registration.id];
            taken.push_back(room);
        }
        if (taken.size() == wanted.tasks.size()) {
            for (std::size_t number = 0; number < taken.size(); ++number) {
                plan.placements.push_back(placement(wanted, wanted.tasks[number], taken[number]->worker->registration.id));
            }
            wanted.tasks.clear();
            return;
        }
        for (Room *room : taken) {
            room->take(*wanted.step, -1);
            --wanted.onWorker[room->worker->registration.id];
        }
    }
}

std::vector<Planner::Candidate> Planner::adviceCandidates(const WantedStep &wanted)
{
    std::vector<Candidate> candidates;
    for (Room &room : this->rooms) {
        const Standing standing = this->advice.standing(this->now, wanted.key, room.worker->registration.id);
        const bool isOpen = standing == Standing::Unasked || standing == Standing::Expired;
        if (!isOpen || !this->mayRun(room, wanted) || !this->isBelowBound(room, wanted) || !this->isAcceptable(room)) {
            continue;
        }
        const bool hasRoom = room.fits(*wanted.step);
        // A ticket without room now would have ended by the time that there is some; that a worker may run the step stays known.
        if (hasRoom || standing == Standing::Unasked) {
            candidates.push_back({&room, hasRoom, standing == Standing::Expired, penaltyOf(room, wanted)});
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        const auto rank = [](const Candidate &entry) { return std::tuple(!entry.hasRoom, !entry.isExpired, entry.penalty); };
        return rank(left) < rank(right);
    });
    return candidates;
}

void Planner::askAdvice(WantedStep &wanted, Plan &plan)
{
    const std::vector<Candidate> candidates = this->adviceCandidates(wanted);
    if (candidates.empty() || !candidates.front().hasRoom) {
        return;
    }
    const work::AdvicePolicyT &policy = *wanted.job->queue().advice;
    const double cheap = policy.perWorkerMillis > 0 ? marginalShare * policy.decisionMillis / policy.perWorkerMillis : static_cast<double>(mostWorkersAsked);
    const std::size_t least = std::clamp(static_cast<std::size_t>(cheap), leastWorkersAsked, mostWorkersAsked);
    const double share = this->advice.permittedShare(wanted.job->queue().name);
    const double needed = static_cast<double>(wanted.tasks.size()) * askedSurplus;
    double expected = 0;
    std::vector<std::string> asked;
    for (const Candidate &candidate : candidates) {
        const bool isEnough = expected >= needed;
        if (asked.size() >= mostWorkersAsked || (isEnough && asked.size() >= least)) {
            break;
        }
        asked.push_back(candidate.room->worker->registration.id);
        if (!isEnough && candidate.hasRoom) {
            expected += this->keepRoom(wanted, *candidate.room, candidate.isExpired ? 1.0 : share);
        }
    }
    if (this->advice.mayAsk(this->now, wanted.key)) {
        plan.questions.push_back(this->advice.ask(this->now, wanted.key, wanted.job->queue().name, std::move(asked), policy));
    }
}

double Planner::keepRoom(const WantedStep &wanted, Room &room, double chance)
{
    std::size_t slots = std::min(room.tasksThatFit(*wanted.step), wanted.tasks.size());
    if (wanted.step->mostPerWorker > 0) {
        slots = std::min<std::size_t>(slots, wanted.step->mostPerWorker);
    }
    const double expected = chance * static_cast<double>(slots);
    const std::int64_t kept = std::lround(expected);
    room.take(*wanted.step, kept);
    return expected;
}

void Planner::preemptFor(const WantedStep &wanted, Plan &plan)
{
    std::size_t missing = wanted.tasks.size();
    std::vector<Victim> victims;
    for (Room &room : this->rooms) {
        if (this->mayMakeRoom(room, wanted)) {
            // Room that is free or on its way serves first.
            missing -= claimComingRoom(room, wanted, missing);
            this->collectVictims(room, wanted, plan, victims);
        }
    }
    std::stable_sort(victims.begin(), victims.end(), [](const Victim &left, const Victim &right) {
        const auto rank = [](const Victim &victim) { return std::tie(victim.isHome, victim.outlook, victim.submittedAtMillis); };
        return rank(left) > rank(right);
    });
    for (const Victim &victim : victims) {
        if (missing == 0 || plan.preempted.size() >= mostPreemptions) {
            return;
        }
        plan.preempted.push_back(victim.key);
        victim.room->comingProcessors += this->state.findJob(victim.key.job)->stepSpec(victim.key.step).demand->milliProcessors();
        missing -= claimComingRoom(*victim.room, wanted, missing);
    }
}

bool Planner::mayMakeRoom(const Room &room, const WantedStep &wanted) const
{
    const Standing standing = wanted.job->queue().advice ? this->advice.standing(this->now, wanted.key, room.id()) : Standing::Permitted;
    return standing != Standing::Forbidden && this->mayRun(room, wanted) && this->isBelowBound(room, wanted) && room.view->failedInRow == 0;
}

std::size_t Planner::claimComingRoom(Room &room, const WantedStep &wanted, std::size_t missing)
{
    const std::int64_t each = wanted.step->demand->milliProcessors();
    if (each == 0) {
        return missing;
    }
    const std::int64_t available = std::max<std::int64_t>(0, room.processors) + room.comingProcessors;
    const std::size_t claimed = std::min(missing, static_cast<std::size_t>(std::max<std::int64_t>(0, available / each)));
    room.comingProcessors -= each * static_cast<std::int64_t>(claimed);
    return claimed;
}

void Planner::collectVictims(Room &room, const WantedStep &wanted, const Plan &plan, std::vector<Victim> &victims) const
{
    const bool isHome = wanted.home.empty() || room.dataCentre() == wanted.home;
    for (const workload::TaskKey &key : room.worker->runs) {
        if (this->makesWay(key, wanted, plan)) {
            const workload::Job &job = *this->state.findJob(key.job);
            victims.push_back({key, &room, isHome, this->outlookOfOccurrence(job, key.occurrence), job.submittedAtMillis()});
        }
    }
}

bool Planner::makesWay(const workload::TaskKey &key, const WantedStep &wanted, const Plan &plan) const
{
    const workload::Job &job = *this->state.findJob(key.job);
    const work::StepSpecT &step = job.stepSpec(key.step);
    const auto track = this->tracks.find(key);
    const bool isRunning = track != this->tracks.end() && track->second.phase == execution::RunPhase::Running;
    const bool isChosen = std::find(plan.preempted.begin(), plan.preempted.end(), key) != plan.preempted.end();
    return isRunning && !isChosen && job.queue().priority > wanted.job->queue().priority && step.isCheckpointing && !step.isGang && !step.isLasting
           && !step.isFilling;
}

} // namespace paddlepier::planning
