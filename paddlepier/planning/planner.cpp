// Decides which waiting tasks go to which workers.

#include "paddlepier/planning/planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

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

/**
 * Least pause between two plans that make runs give way: those that stop need some of it, and a plan that only passes over steps
 * which wait for an answer costs next to nothing.
 */
constexpr Duration preemptionPause = absl::Milliseconds(20);

/** Most wide steps of one plan that room is kept for; what comes after them takes what is left. */
constexpr std::size_t mostKeptSteps = 40;

/** What stopping one run is worth in waiting: it loses up to a save's interval and a restore, a part of which is used meanwhile. */
constexpr double secondsPerStop = 0.1;

/** Runs are stopped only if the room is whole this soon: sooner than a ticket ends, and before much of it has lain idle. */
constexpr Duration longestWaitAfterStop = absl::Milliseconds(800);

/** A question that renews tickets names a few workers. */
constexpr double workersOfARenewal = 6;

/** How many workers a question names at least. */
std::size_t leastAsked(const work::AdvicePolicyT &policy)
{
    const double cheap = policy.perWorkerMillis > 0 ? marginalShare * policy.decisionMillis / policy.perWorkerMillis : static_cast<double>(mostWorkersAsked);
    return std::clamp(static_cast<std::size_t>(cheap), leastWorkersAsked, mostWorkersAsked);
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
    , keeper(workloadState, runTracks, usualRatiosByQueue)
{
}

Plan Planner::plan(Timestamp at, std::int64_t wall)
{
    this->now = at;
    this->wallMillis = wall;
    this->isYieldingCollected = false;
    this->mayPreempt = at >= this->nextPreemption;
    Plan plan;
    std::vector<WantedStep> steps = this->collectSteps();
    // What comes after the last step that may act keeps room from nobody.
    while (!steps.empty() && !this->mayAct(steps.back())) {
        steps.pop_back();
    }
    if (steps.empty()) {
        return plan;
    }
    this->rooms.collect(this->now, this->state, this->views, this->advice);
    this->keeper.begin(at, wall);
    this->keptSteps = 0;
    for (WantedStep &wanted : steps) {
        this->rooms.beginStep(this->now, wanted, this->advice);
        this->planStep(wanted, plan);
    }
    return plan;
}

bool Planner::mayAct(const WantedStep &wanted) const
{
    const bool needsAdvice = wanted.job->queue().advice != nullptr;
    return !needsAdvice || this->advice.mayAsk(this->now, wanted.key) || this->advice.mayHaveTicket(this->now, wanted.key)
           || (this->mayPreempt && wanted.job->queue().priority == 0);
}

bool Planner::isWide(const WantedStep &wanted)
{
    const std::uint32_t service = this->rooms.serviceNumber(wanted.job->queue().service);
    const std::vector<Room> &all = this->rooms.all();
    return std::all_of(all.begin(), all.end(), [&](const Room &room) { return room.service != service || isWideFor(room, *wanted.step); });
}

std::vector<WantedStep> Planner::collectSteps() const
{
    std::vector<WantedStep> wanted;
    for (const std::string &id : this->state.waitingJobs()) {
        const workload::Job &job = *this->state.findJob(id);
        for (std::uint32_t occurrence = 0; occurrence < job.occurrences().size(); ++occurrence) {
            if (job.dueMillis(occurrence) > this->wallMillis) {
                break;
            }
            this->collectOccurrence(wanted, job, occurrence);
        }
    }
    std::stable_sort(wanted.begin(), wanted.end(), [](const WantedStep &left, const WantedStep &right) {
        const auto rank = [](const WantedStep &entry) { return std::tuple(rankOf(entry), entry.prospect.outlook, entry.job->submittedAtMillis()); };
        return rank(left) < rank(right);
    });
    return wanted;
}

void Planner::collectOccurrence(std::vector<WantedStep> &wanted, const workload::Job &job, std::uint32_t occurrence) const
{
    const std::vector<workload::Step> &steps = job.occurrences()[occurrence].steps;
    std::optional<Prospect> prospect;
    for (std::uint32_t number = 0; number < steps.size(); ++number) {
        const workload::Step &progress = steps[number];
        const work::StepSpecT &step = job.stepSpec(number);
        if (progress.waitingTasks == 0 || progress.openBefore > 0 || (step.isGang && progress.runningTasks > 0)) {
            continue;
        }
        WantedStep entry;
        entry.job = &job;
        entry.key = {job.id(), occurrence, number};
        entry.step = &step;
        entry.progress = &progress;
        if (!step.isLasting) {
            // What is to last has no end to meet.
            prospect = prospect ? prospect : this->prospectOfOccurrence(job, occurrence);
            entry.prospect = *prospect;
        }
        entry.tasks.reserve(progress.waitingTasks);
        for (std::uint32_t index = 0; index < progress.tasks.size(); ++index) {
            if (!progress.tasks[index].isDone && !progress.tasks[index].hasRun()) {
                entry.tasks.push_back(index);
            }
        }
        wanted.push_back(std::move(entry));
    }
}

std::uint32_t Planner::rankOf(const WantedStep &wanted)
{
    const std::uint32_t priority = wanted.job->queue().priority;
    return priority > 1 && wanted.prospect.isPressed() ? priority - 1 : priority;
}

Prospect Planner::prospectOfOccurrence(const workload::Job &job, std::uint32_t occurrence) const
{
    const auto usual = this->usualRatios.find(job.queue().name);
    return prospectOf(job, occurrence, this->wallMillis, usual == this->usualRatios.end() ? 1.0 : usual->second);
}

bool Planner::mayRun(const Room &room, const WantedStep &wanted, std::uint32_t service)
{
    return room.service == service && !room.isSpare && (wanted.step->requiredLabel.empty() || room.worker->hasLabel(wanted.step->requiredLabel));
}

bool Planner::isTrusted(const Room &room, const Task &task)
{
    // A task that has failed already must not use up its attempts on a worker that may be the cause.
    return task.failures > 0 && !room.isOnProbation ? room.view->failedInRow == 0 : isAcceptable(room);
}

bool Planner::isAcceptable(const Room &room)
{
    if (room.view->failedInRow < suspiciousFailures) {
        return true;
    }
    // After its time out a suspicious worker shows itself by one run at a time.
    return room.isOnProbation && room.worker->runs.empty();
}

bool Planner::isBelowBound(const Room &room, const WantedStep &wanted)
{
    return wanted.step->mostPerWorker == 0 || room.stepTasks < wanted.step->mostPerWorker;
}

void Planner::collectChoices(const WantedStep &wanted)
{
    this->choices.clear();
    const std::uint32_t service = this->rooms.serviceNumber(wanted.job->queue().service);
    const auto add = [&](Room &room) {
        if (room.fits(*wanted.step) && mayRun(room, wanted, service) && isAcceptable(room)) {
            this->judge(this->choices.emplace_back(Choice{&room, 0}), wanted);
        }
    };
    std::vector<Room> &all = this->rooms.all();
    if (wanted.job->queue().advice == nullptr) {
        std::for_each(all.begin(), all.end(), add);
        return;
    }
    for (const std::uint32_t number : this->rooms.told()) {
        if (all[number].standing == Standing::Permitted) {
            add(all[number]);
        }
    }
}

void Planner::judge(Choice &choice, const WantedStep &wanted) const
{
    const bool isOpen = choice.room->fits(*wanted.step) && isBelowBound(*choice.room, wanted);
    choice.penalty = isOpen ? penaltyOf(*choice.room, wanted) : std::numeric_limits<double>::infinity();
}

void Planner::take(Choice &choice, const WantedStep &wanted, std::int32_t tasks)
{
    this->rooms.take(*choice.room, *wanted.step, tasks);
    this->rooms.countTask(*choice.room, tasks);
    this->judge(choice, wanted);
}

Planner::Choice *Planner::bestChoice(const WantedStep &wanted, std::uint32_t index, std::string_view rack)
{
    const Task &task = wanted.progress->tasks[index];
    Choice *best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (Choice &choice : this->choices) {
        if (choice.penalty >= least || (!rack.empty() && choice.room->rack() != rack) || !isTrusted(*choice.room, task)) {
            continue;
        }
        const auto &superseded = choice.room->worker->superseded;
        if (!superseded.empty() && superseded.contains({wanted.key.job, wanted.key.occurrence, wanted.key.step, index})) {
            continue;
        }
        best = &choice;
        least = choice.penalty;
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
    this->collectChoices(wanted);
    if (wanted.step->isGang) {
        this->planGang(wanted, plan);
    } else {
        this->placeSingly(wanted, plan);
    }
    if (wanted.tasks.empty()) {
        return;
    }
    const bool isWideStep = !wanted.step->isFilling && this->isWide(wanted);
    std::vector<ComingRoom> coming;
    if (isWideStep && this->keptSteps < mostKeptSteps) {
        ++this->keptSteps;
        coming = this->keepComingRoom(wanted);
    }
    if (wanted.job->queue().advice) {
        this->askAdvice(wanted, coming, plan);
    }
    if (!coming.empty()) {
        this->makeComingRoom(wanted, coming, plan);
    } else if (this->mayPreempt && wanted.job->queue().priority == 0 && plan.preempted.size() < mostPreemptions) {
        this->preemptFor(wanted, plan);
    }
}

ComingRoom Planner::soonestRoom(const WantedStep &wanted, std::uint32_t index)
{
    const Task &task = wanted.progress->tasks[index];
    const std::uint32_t service = this->rooms.serviceNumber(wanted.job->queue().service);
    ComingRoom best;
    double least = std::numeric_limits<double>::infinity();
    const auto consider = [&](Room &room) {
        if (!mayRun(room, wanted, service) || !isAcceptable(room) || !isTrusted(room, task) || !isBelowBound(room, wanted)) {
            return;
        }
        ComingRoom coming = this->keeper.comingRoom(room, wanted);
        const double slowSeconds = wanted.step->estimatedMillis / 1000.0 * std::max(0.0, room.view->slowness - 1.0);
        const double cost = absl::ToDoubleSeconds(coming.wait) + slowSeconds + secondsPerStop * static_cast<double>(coming.stops.size());
        if (coming.room != nullptr && cost < least) {
            least = cost;
            best = std::move(coming);
        }
    };
    std::vector<Room> &all = this->rooms.all();
    if (wanted.job->queue().advice == nullptr) {
        std::for_each(all.begin(), all.end(), consider);
        return best;
    }
    for (const std::uint32_t number : this->rooms.told()) {
        if (all[number].standing == Standing::Permitted || all[number].standing == Standing::Expired) {
            consider(all[number]);
        }
    }
    return best;
}

std::vector<ComingRoom> Planner::keepComingRoom(const WantedStep &wanted)
{
    std::vector<ComingRoom> kept;
    for (const std::uint32_t index : wanted.tasks) {
        ComingRoom coming = this->soonestRoom(wanted, index);
        if (coming.room == nullptr) {
            break;
        }
        this->rooms.take(*coming.room, *wanted.step);
        this->rooms.countTask(*coming.room, 1);
        kept.push_back(std::move(coming));
    }
    if (wanted.step->isGang && kept.size() < wanted.tasks.size()) {
        for (const ComingRoom &coming : kept) {
            this->rooms.take(*coming.room, *wanted.step, -1);
            this->rooms.countTask(*coming.room, -1);
        }
        kept.clear();
    }
    return kept;
}

bool Planner::mayStopFor(const WantedStep &wanted, const ComingRoom &coming) const
{
    const bool hasTicket = wanted.job->queue().advice == nullptr || coming.room->standing == Standing::Permitted;
    // While an answer is awaited the ticket is there by the time that the room is.
    return (hasTicket || !this->advice.mayAsk(this->now, wanted.key)) && coming.wait <= longestWaitAfterStop;
}

void Planner::makeComingRoom(const WantedStep &wanted, const std::vector<ComingRoom> &coming, Plan &plan)
{
    if (!this->mayPreempt || plan.preempted.size() >= mostPreemptions) {
        return;
    }
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
                plan.preempted.push_back(run->key);
            }
        }
    }
}

void Planner::placeSingly(WantedStep &wanted, Plan &plan)
{
    std::vector<std::uint32_t> left;
    for (const std::uint32_t index : wanted.tasks) {
        Choice *choice = this->bestChoice(wanted, index, "");
        if (choice == nullptr) {
            left.push_back(index);
            continue;
        }
        this->take(*choice, wanted, 1);
        plan.placements.push_back(placement(wanted, index, choice->room->id()));
    }
    wanted.tasks = std::move(left);
}

void Planner::planGang(WantedStep &wanted, Plan &plan)
{
    if (wanted.step->prefersOneRack) {
        for (const std::string_view rack : this->rooms.racks()) {
            if (this->placeGang(wanted, rack, plan)) {
                return;
            }
        }
    }
    this->placeGang(wanted, "", plan);
}

bool Planner::placeGang(WantedStep &wanted, std::string_view rack, Plan &plan)
{
    std::vector<Choice *> taken;
    for (const std::uint32_t index : wanted.tasks) {
        Choice *choice = this->bestChoice(wanted, index, rack);
        if (choice == nullptr) {
            break;
        }
        this->take(*choice, wanted, 1);
        taken.push_back(choice);
    }
    if (taken.size() < wanted.tasks.size()) {
        for (Choice *choice : taken) {
            this->take(*choice, wanted, -1);
        }
        return false;
    }
    for (std::size_t number = 0; number < taken.size(); ++number) {
        plan.placements.push_back(placement(wanted, wanted.tasks[number], taken[number]->room->id()));
    }
    wanted.tasks.clear();
    return true;
}

std::vector<Planner::Candidate> Planner::adviceCandidates(const WantedStep &wanted, bool withRoom)
{
    std::vector<Candidate> candidates;
    const std::uint32_t service = this->rooms.serviceNumber(wanted.job->queue().service);
    for (Room &room : this->rooms.all()) {
        // A ticket without room now would have ended by the time that there is some; that a worker may run the step stays known.
        const bool isOpen = room.standing == Standing::Unasked || (withRoom && room.standing == Standing::Expired);
        if (isOpen && room.fits(*wanted.step) == withRoom && mayRun(room, wanted, service) && isBelowBound(room, wanted) && isAcceptable(room)) {
            candidates.push_back({&room, withRoom, room.standing == Standing::Expired, penaltyOf(room, wanted)});
        }
    }
    return candidates;
}

void Planner::addRenewals(std::vector<Candidate> &candidates, const WantedStep &wanted, const std::vector<ComingRoom> &coming) const
{
    const work::AdvicePolicyT &policy = *wanted.job->queue().advice;
    const Duration answerTime = absl::Milliseconds(static_cast<std::int64_t>(policy.decisionMillis + policy.perWorkerMillis * workersOfARenewal));
    for (const ComingRoom &entry : coming) {
        const bool isCandidate = std::any_of(candidates.begin(), candidates.end(), [&entry](const Candidate &known) { return known.room == entry.room; });
        if (entry.room->standing == Standing::Expired && entry.wait <= answerTime + longestWaitAfterStop && !isCandidate) {
            candidates.push_back({entry.room, false, true, penaltyOf(*entry.room, wanted)});
        }
    }
}

void Planner::askAdvice(WantedStep &wanted, const std::vector<ComingRoom> &coming, Plan &plan)
{
    std::vector<Candidate> candidates = this->adviceCandidates(wanted, true);
    this->addRenewals(candidates, wanted, coming);
    // For a wide step room is made, or awaited: who may run it has to be known before.
    const bool asksAhead = coming.empty() && this->isWide(wanted);
    if (candidates.empty() && !asksAhead) {
        return;
    }
    const bool mayAsk = this->advice.mayAsk(this->now, wanted.key);
    if (mayAsk && candidates.size() < mostWorkersAsked) {
        const std::vector<Candidate> full = this->adviceCandidates(wanted, false);
        candidates.insert(candidates.end(), full.begin(), full.end());
    }
    std::vector<std::string> asked = this->keepRoomFor(wanted, std::move(candidates), mayAsk);
    if (!asked.empty()) {
        const work::QueueSpecT &queue = wanted.job->queue();
        plan.questions.push_back(this->advice.ask(this->now, wanted.key, queue.name, std::move(asked), *queue.advice));
    }
}

std::vector<std::string> Planner::keepRoomFor(const WantedStep &wanted, std::vector<Candidate> candidates, bool mayAsk)
{
    const auto isWorse = [](const Candidate &left, const Candidate &right) {
        const auto group = [](const Candidate &entry) { return (entry.hasRoom ? 0 : 2) + (entry.isExpired ? 0 : 1); };
        if (group(left) != group(right)) {
            return group(left) > group(right);
        }
        return left.penalty != right.penalty ? left.penalty > right.penalty : left.room > right.room;
    };
    // Only the first of them are needed: a heap gives them without sorting all.
    std::make_heap(candidates.begin(), candidates.end(), isWorse);
    const std::size_t least = mayAsk ? leastAsked(*wanted.job->queue().advice) : 0;
    const double share = this->advice.permittedShare(wanted.job->queue().name);
    const double needed = static_cast<double>(wanted.tasks.size()) * askedSurplus;
    double expected = 0;
    std::vector<std::string> asked;
    for (std::size_t count = 0; !candidates.empty() && count < mostWorkersAsked && (expected < needed || count < least); ++count) {
        std::pop_heap(candidates.begin(), candidates.end(), isWorse);
        const Candidate candidate = candidates.back();
        candidates.pop_back();
        if (mayAsk) {
            asked.push_back(candidate.room->id());
        }
        if (expected < needed && candidate.hasRoom) {
            expected += this->keepRoom(wanted, *candidate.room, candidate.isExpired ? 1.0 : share);
        }
    }
    return asked;
}

double Planner::keepRoom(const WantedStep &wanted, Room &room, double chance)
{
    std::size_t slots = std::min(room.tasksThatFit(*wanted.step), wanted.tasks.size());
    if (wanted.step->mostPerWorker > 0) {
        slots = std::min<std::size_t>(slots, wanted.step->mostPerWorker);
    }
    const double expected = chance * static_cast<double>(slots);
    this->rooms.take(room, *wanted.step, std::lround(expected));
    return expected;
}

void Planner::preemptFor(const WantedStep &wanted, Plan &plan)
{
    this->nextPreemption = this->now + preemptionPause;
    this->rooms.countComing(this->state, this->tracks);
    std::size_t missing = wanted.tasks.size();
    const std::uint32_t service = this->rooms.serviceNumber(wanted.job->queue().service);
    for (Room &room : this->rooms.all()) {
        // Room that is free or on its way serves first.
        if (missing > 0 && mayMakeRoom(room, wanted, service)) {
            missing -= claimComingRoom(room, wanted, missing);
        }
    }
    if (missing > 0) {
        this->preemptRuns(wanted, missing, plan);
    }
}

void Planner::preemptRuns(const WantedStep &wanted, std::size_t missing, Plan &plan)
{
    if (!std::exchange(this->isYieldingCollected, true)) {
        this->yielding.collect(this->state, this->tracks, this->rooms, [this](const workload::Job &job, std::uint32_t occurrence) {
            return this->prospectOfOccurrence(job, occurrence).outlook;
        });
    }
    const std::uint32_t service = this->rooms.serviceNumber(wanted.job->queue().service);
    for (YieldingRun *run : this->yielding.inOrder(wanted.home)) {
        if (missing == 0 || plan.preempted.size() >= mostPreemptions) {
            return;
        }
        if (!mayMakeRoom(*run->room, wanted, service)) {
            continue;
        }
        run->isChosen = true;
        plan.preempted.push_back(run->key);
        run->room->comingProcessors += run->milliProcessors;
        missing -= claimComingRoom(*run->room, wanted, missing);
    }
}

bool Planner::mayMakeRoom(const Room &room, const WantedStep &wanted, std::uint32_t service)
{
    return room.standing != Standing::Forbidden && mayRun(room, wanted, service) && isBelowBound(room, wanted) && room.view->failedInRow == 0;
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

} // namespace paddlepier::planning
