// State machine of one job.

#include "paddlepier/workload/job.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace paddlepier::workload
{

namespace
{

std::uint32_t occurrenceCount(const work::JobSpecT &spec)
{
    return std::max<std::uint32_t>(1, spec.repetitions);
}

/** Ends reported by the worker prove that the run reached it; ends concluded by the leader don't. */
bool isProofOfStart(work::RunEndKind kind)
{
    return kind != work::RunEndKind::Void && kind != work::RunEndKind::WorkerLost && kind != work::RunEndKind::Expired && kind != work::RunEndKind::Superseded;
}

std::string stepError(const work::StepSpecT &step, std::size_t number)
{
    if (step.count == 0) {
        return absl::StrCat("step ", number, ": count is 0, expected at least 1");
    }
    for (const std::uint32_t earlier : step.after) {
        if (earlier >= number) {
            return absl::StrCat("step ", number, ": after: ", earlier, " is not the number of an earlier step");
        }
    }
    return "";
}

} // namespace

std::string validationError(const work::JobSpecT &spec)
{
    if (spec.steps.empty()) {
        return "the job has no steps";
    }
    std::uint64_t tasks = 0;
    for (std::size_t number = 0; number < spec.steps.size(); ++number) {
        std::string error = stepError(*spec.steps[number], number);
        if (!error.empty()) {
            return error;
        }
        tasks += spec.steps[number]->count;
    }
    // Counts and repetitions are chosen by callers: their product may exceed 64 bits.
    if (tasks > maxTasksPerJob / occurrenceCount(spec)) {
        return absl::StrCat("the job exceeds the limit of ", maxTasksPerJob, " tasks");
    }
    return "";
}

std::string queueAddress(std::string_view host, std::string_view pathPrefix)
{
    std::string address = absl::AsciiStrToLower(absl::string_view(host.data(), host.size()));
    address.append(pathPrefix);
    return address;
}

std::string JobFailure::text() const
{
    switch (this->reason) {
    case work::JobFailureReason::None:
        break;
    case work::JobFailureReason::AttemptsUsedUp:
        return absl::StrCat("task ", this->task.text(), " has used up the attempts that its queue allows");
    case work::JobFailureReason::WorkersLost:
        return absl::StrCat("several workers were lost while running task ", this->task.text(), ": ", absl::StrJoin(this->lostWorkers, ", "));
    }
    return "";
}

Job::Job(std::string id, work::QueueSpecT queue, work::JobSpecT spec, std::int64_t nowMillis, std::string team)
    : jobId(std::move(id))
    , teamName(std::move(team))
    , queueSpec(std::move(queue))
    , addressOfQueue(workload::queueAddress(this->queueSpec.host, this->queueSpec.pathPrefix))
    , jobSpec(std::move(spec))
    , submittedAt(nowMillis)
{
    this->occurrenceList.resize(occurrenceCount(this->jobSpec));
    for (Occurrence &occurrence : this->occurrenceList) {
        for (const auto &step : this->jobSpec.steps) {
            occurrence.steps.emplace_back().tasks.resize(step->count);
        }
    }
    this->recount();
}

void Job::recount()
{
    this->activeRuns = 0;
    this->waitingCount = 0;
    this->openSteps = 0;
    for (Occurrence &occurrence : this->occurrenceList) {
        for (std::uint32_t number = 0; number < occurrence.steps.size(); ++number) {
            Step &step = occurrence.steps[number];
            step.doneTasks = 0;
            step.runningTasks = 0;
            step.waitingTasks = 0;
            for (const Task &task : step.tasks) {
                step.doneTasks += task.isDone ? 1 : 0;
                step.runningTasks += task.hasRun() ? 1 : 0;
                step.waitingTasks += task.isDone || task.hasRun() ? 0 : 1;
            }
            this->activeRuns += step.runningTasks;
            this->waitingCount += step.waitingTasks;
            this->openSteps += step.isDone() ? 0 : 1;
            const std::vector<std::uint32_t> &after = this->stepSpec(number).after;
            step.openPredecessors = static_cast<std::uint32_t>(
                std::count_if(after.begin(), after.end(), [&occurrence](std::uint32_t earlier) { return !occurrence.steps.at(earlier).isDone(); }));
        }
    }
}

void Job::adjustWaiting(Step &step, std::int32_t change)
{
    step.waitingTasks += static_cast<std::uint32_t>(change);
    this->waitingCount += static_cast<std::uint32_t>(change);
}

void Job::releaseSuccessors(Occurrence &occurrence, std::uint32_t step) const
{
    for (std::uint32_t later = step + 1; later < occurrence.steps.size(); ++later) {
        const std::vector<std::uint32_t> &after = this->stepSpec(later).after;
        occurrence.steps[later].openPredecessors -= static_cast<std::uint32_t>(std::count(after.begin(), after.end(), step));
    }
}

const std::string &Job::id() const
{
    return this->jobId;
}

const std::string &Job::team() const
{
    return this->teamName;
}

const work::JobSpecT &Job::spec() const
{
    return this->jobSpec;
}

const work::StepSpecT &Job::stepSpec(std::uint32_t step) const
{
    return *this->jobSpec.steps.at(step);
}

const work::QueueSpecT &Job::queue() const
{
    return this->queueSpec;
}

const std::string &Job::queueAddress() const
{
    return this->addressOfQueue;
}

work::JobState Job::state() const
{
    return this->jobState;
}

bool Job::isCancelled() const
{
    return this->cancelled;
}

std::int64_t Job::submittedAtMillis() const
{
    return this->submittedAt;
}

std::int64_t Job::endedAtMillis() const
{
    return this->endedAt;
}

const std::vector<Occurrence> &Job::occurrences() const
{
    return this->occurrenceList;
}

const Task &Job::task(const TaskKey &key) const
{
    return this->occurrenceList.at(key.occurrence).steps.at(key.step).tasks.at(key.index);
}

Task &Job::mutableTask(const TaskKey &key)
{
    return this->mutableStep(key).tasks.at(key.index);
}

Step &Job::mutableStep(const TaskKey &key)
{
    return this->occurrenceList.at(key.occurrence).steps.at(key.step);
}

bool Job::hasEnded() const
{
    return this->jobState != work::JobState::Queued && this->jobState != work::JobState::Running;
}

bool Job::hasTask(const TaskKey &key) const
{
    return key.occurrence < this->occurrenceList.size() && key.step < this->occurrenceList[key.occurrence].steps.size()
           && key.index < this->occurrenceList[key.occurrence].steps[key.step].tasks.size();
}

bool Job::isFullyEnded() const
{
    return this->hasEnded() && this->activeRuns == 0;
}

std::uint32_t Job::activeRunCount() const
{
    return this->activeRuns;
}

std::uint32_t Job::waitingTasks() const
{
    return this->waitingCount;
}

bool Job::hasStarted() const
{
    return this->hasStartedRun;
}

std::int64_t Job::dueMillis(std::uint32_t occurrence) const
{
    return this->jobSpec.repetitions == 0 ? 0 : this->jobSpec.firstDueMillis + occurrence * this->jobSpec.intervalMillis;
}

bool Job::isReady(std::uint32_t occurrence, std::uint32_t step) const
{
    return this->occurrenceList.at(occurrence).steps.at(step).openPredecessors == 0;
}

std::uint32_t Job::nextRun(const TaskKey &key) const
{
    if (!this->stepSpec(key.step).isGang) {
        return this->task(key).lastRun + 1;
    }
    std::uint32_t highest = 0;
    for (const Task &member : this->occurrenceList.at(key.occurrence).steps.at(key.step).tasks) {
        highest = std::max(highest, member.lastRun);
    }
    return highest + 1;
}

bool Job::mayPlace(const TaskKey &key, std::uint32_t run) const
{
    if (this->hasEnded() || !this->hasTask(key) || !this->isReady(key.occurrence, key.step)) {
        return false;
    }
    const Task &task = this->task(key);
    return !task.isDone && !task.hasRun() && run > task.lastRun;
}

void Job::place(const TaskKey &key, std::uint32_t run, const Incarnation &worker, std::int64_t nowMillis)
{
    Step &step = this->mutableStep(key);
    Task &placed = step.tasks.at(key.index);
    this->adjustWaiting(step, placed.isDone || placed.hasRun() ? 0 : -1);
    placed.lastRun = run;
    placed.worker = worker;
    placed.placedAtMillis = nowMillis;
    placed.finalAttempts += placed.lostWorkers.size() >= lossThreshold ? 1 : 0;
    ++step.runningTasks;
    ++this->activeRuns;
    this->jobState = work::JobState::Running;
}

bool Job::moveRun(const TaskKey &key, std::uint32_t run, const Incarnation &from, const Incarnation &to)
{
    if (!this->hasTask(key) || this->task(key).worker != from || this->task(key).lastRun != run) {
        return false;
    }
    this->mutableTask(key).worker = to;
    return true;
}

bool Job::endRun(const TaskKey &key, std::uint32_t run, const Incarnation &worker, work::RunEndKind kind, const std::string &checkpoint, std::int64_t nowMillis)
{
    if (!this->hasTask(key)) {
        return false;
    }
    Task &ended = this->mutableTask(key);
    if (ended.worker != worker || ended.lastRun != run) {
        return false;
    }
    ended.worker = {};
    Step &step = this->mutableStep(key);
    --step.runningTasks;
    --this->activeRuns;
    this->adjustWaiting(step, ended.isDone ? 0 : 1);
    if (!checkpoint.empty()) {
        ended.checkpoint = checkpoint;
    }
    this->applyRunEnd(key, run, kind, nowMillis);
    return true;
}

void Job::endSupersededRun(const TaskKey &key, std::uint32_t run, work::RunEndKind kind, std::int64_t nowMillis)
{
    if (this->hasTask(key)) {
        this->applyRunEnd(key, run, kind, nowMillis);
    }
}

void Job::applyRunEnd(const TaskKey &key, std::uint32_t run, work::RunEndKind kind, std::int64_t nowMillis)
{
    if (isProofOfStart(kind)) {
        this->mutableTask(key).everStarted = true;
        this->hasStartedRun = true;
    }
    const bool isLasting = this->stepSpec(key.step).isLasting;
    if (kind == work::RunEndKind::Done && !isLasting) {
        this->completeTask(key);
    } else if (kind == work::RunEndKind::Failed && !isLasting) {
        this->recordFailure(key, run, nowMillis);
    }
    Task &task = this->mutableTask(key);
    if (kind == work::RunEndKind::Void && run == task.lastRun && task.finalAttempts > 0) {
        --task.finalAttempts; // It was placed, but never started.
    }
    const bool wasLost = kind == work::RunEndKind::WorkerLost || kind == work::RunEndKind::Expired;
    if (!wasLost && nowMillis - this->task(key).placedAtMillis >= settledAfterMillis) {
        this->clearLosses(key);
    }
    const bool mayBeAbandoned = !task.isDone && task.hasProvenLosses();
    if (!this->hasEnded() && mayBeAbandoned && task.finalAttempts >= maxFinalAttempts) {
        this->fail(work::JobFailureReason::WorkersLost, key, nowMillis);
    }
    if (!this->hasEnded() && this->isComplete()) {
        this->end(work::JobState::Completed, nowMillis);
    }
}

void Job::completeTask(const TaskKey &key)
{
    Step &step = this->mutableStep(key);
    const bool wasDone = step.isDone();
    const auto finish = [this, &step](Task &task) {
        if (!task.isDone) {
            task.isDone = true;
            ++step.doneTasks;
            this->adjustWaiting(step, task.hasRun() ? 0 : -1);
        }
    };
    if (this->stepSpec(key.step).isGang) {
        std::for_each(step.tasks.begin(), step.tasks.end(), finish);
    } else {
        finish(step.tasks.at(key.index));
    }
    if (!wasDone && step.isDone()) {
        --this->openSteps;
        this->releaseSuccessors(this->occurrenceList.at(key.occurrence), key.step);
    }
}

void Job::recordFailure(const TaskKey &key, std::uint32_t run, std::int64_t nowMillis)
{
    std::uint32_t failures = 0;
    if (this->stepSpec(key.step).isGang) {
        Step &step = this->mutableStep(key);
        step.gangFailures += step.lastFailedRun == run ? 0 : 1;
        step.lastFailedRun = run;
        failures = step.gangFailures;
    } else {
        failures = ++this->mutableTask(key).failures;
    }
    if (!this->task(key).isDone && !this->hasEnded() && failures >= std::max<std::uint32_t>(1, this->queueSpec.maxAttempts)) {
        this->fail(work::JobFailureReason::AttemptsUsedUp, key, nowMillis);
    }
}

bool Job::recordLoss(const TaskKey &key, const Incarnation &worker, work::RunAtLoss atLoss, bool isOnlySuspect, std::int64_t nowMillis)
{
    if (!this->hasTask(key) || this->hasEnded() || this->task(key).isDone) {
        return false;
    }
    Task &task = this->mutableTask(key);
    if (this->stepSpec(key.step).isLasting && nowMillis - task.placedAtMillis >= settledAfterMillis) {
        this->clearLosses(key);
        return false;
    }
    if (task.lostWorkers.size() == maxLosses) {
        task.lostWorkers.erase(task.lostWorkers.begin());
    }
    task.lostWorkers.push_back(worker.text());
    const bool isVerified = atLoss == work::RunAtLoss::Verified;
    task.freshLosses += isVerified || atLoss == work::RunAtLoss::Fresh ? 1 : 0;
    task.verifiedLosses += isVerified ? 1 : 0;
    task.confirmedLosses += isVerified || atLoss == work::RunAtLoss::Unclear ? 0 : 1;
    const bool isProvenCause = isOnlySuspect && task.lostWorkers.size() >= lossThreshold && task.freshLosses >= freshLossThreshold;
    const bool hasReachedLimit = task.lostWorkers.size() >= maxLosses;
    if ((!isProvenCause && !hasReachedLimit) || !task.hasProvenLosses()) {
        return false;
    }
    this->fail(work::JobFailureReason::WorkersLost, key, nowMillis);
    return true;
}

void Job::verifyStart(const TaskKey &key, std::uint32_t run)
{
    if (this->hasTask(key)) {
        this->mutableTask(key).verifiedRun = run;
    }
}

void Job::clearLosses(const TaskKey &key)
{
    if (this->hasTask(key)) {
        this->mutableTask(key).lostWorkers.clear();
        this->mutableTask(key).freshLosses = 0;
        this->mutableTask(key).confirmedLosses = 0;
        this->mutableTask(key).verifiedLosses = 0;
        this->mutableTask(key).finalAttempts = 0;
    }
}

void Job::adjustUnconfirmedLosses(const TaskKey &key, std::int32_t change)
{
    if (this->hasTask(key)) {
        std::uint32_t &unconfirmed = this->mutableTask(key).unconfirmedLosses;
        // The id may belong to a newer job, submitted after the one that was counted was removed.
        unconfirmed += change < 0 && unconfirmed == 0 ? 0 : static_cast<std::uint32_t>(change);
    }
}

const JobFailure &Job::failure() const
{
    return this->jobFailure;
}

void Job::fail(work::JobFailureReason reason, const TaskKey &key, std::int64_t nowMillis)
{
    this->jobFailure = {reason, key, this->task(key).lostWorkers};
    this->end(work::JobState::Failed, nowMillis);
}

void Job::releasePayload()
{
    this->jobSpec.payload.clear();
    this->jobSpec.payload.shrink_to_fit();
}

void Job::cancel(std::int64_t nowMillis)
{
    if (!this->hasEnded()) {
        this->cancelled = true;
        this->end(work::JobState::Cancelled, nowMillis);
    }
}

void Job::end(work::JobState endState, std::int64_t nowMillis)
{
    this->jobState = endState;
    this->endedAt = nowMillis;
}

bool Job::isComplete() const
{
    return this->openSteps == 0;
}

} // namespace paddlepier::workload
