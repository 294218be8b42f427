// Aggregate: one job with its tasks.

#include "paddlepier/ledger/job.h"

#include <algorithm>
#include <limits>

namespace paddlepier::ledger
{

namespace
{

using wire::JobKind;
using wire::TaskState;

constexpr std::int64_t microsPerSecond = 1'000'000;
constexpr std::uint32_t maxBackoffExponent = 6;

/** A service that ran for this long before its loss was detected is settled: its start didn't crash the worker. */
constexpr std::int64_t settledMicros = 60 * microsPerSecond;

/** Backoff before the next attempt after @p attempts failed ones: 1 s, doubled with each attempt up to 64 s. */
std::int64_t backoffMicros(std::uint32_t attempts)
{
    const std::uint32_t exponent = std::min(attempts > 0 ? attempts - 1 : 0, maxBackoffExponent);
    return microsPerSecond << exponent;
}

} // namespace

bool isActive(TaskState state)
{
    return state == TaskState::Placed || state == TaskState::Running || state == TaskState::Stopping;
}

bool isFinal(TaskState state)
{
    return !isActive(state) && state != TaskState::Queued;
}

Job::Job(wire::JobRecordT jobRecord)
    : data(std::move(jobRecord))
{
    for (std::unique_ptr<wire::TaskRecordT> &task : this->data.tasks) {
        this->taskList.push_back(std::move(*task));
    }
    this->data.tasks.clear();
    for (std::uint32_t index = static_cast<std::uint32_t>(this->taskList.size()); index < this->data.spec->tasks; ++index) {
        wire::TaskRecordT task;
        task.index = index;
        this->taskList.push_back(std::move(task));
    }
    for (const wire::TaskRecordT &task : this->taskList) {
        ++this->counts[static_cast<std::size_t>(task.state)];
    }
}

std::uint64_t Job::id() const
{
    return this->data.id;
}

const wire::JobSpecT &Job::spec() const
{
    return *this->data.spec;
}

const wire::JobRecordT &Job::record() const
{
    return this->data;
}

const std::vector<wire::TaskRecordT> &Job::tasks() const
{
    return this->taskList;
}

std::uint32_t Job::count(TaskState state) const
{
    return this->counts[static_cast<std::size_t>(state)];
}

void Job::setState(wire::TaskRecordT &task, TaskState state)
{
    --this->counts[static_cast<std::size_t>(task.state)];
    task.state = state;
    ++this->counts[static_cast<std::size_t>(state)];
}

TaskState Job::state() const
{
    static constexpr TaskState byPrecedence[] = {TaskState::Stopping,
                                                 TaskState::Running,
                                                 TaskState::Placed,
                                                 TaskState::Queued,
                                                 TaskState::Lost,
                                                 TaskState::Failed,
                                                 TaskState::Cancelled,
                                                 TaskState::Infeasible};
    for (const TaskState candidate : byPrecedence) {
        if (this->count(candidate) > 0) {
            return candidate;
        }
    }
    return TaskState::Succeeded;
}

bool Job::hasEnded() const
{
    return isFinal(this->state());
}

std::vector<std::uint32_t> Job::placeable(std::int64_t atMicros) const
{
    std::vector<std::uint32_t> indexes;
    for (const wire::TaskRecordT &task : this->taskList) {
        if (task.state == TaskState::Queued && task.notBeforeMicros <= atMicros) {
            indexes.push_back(task.index);
        }
    }
    if (this->spec().kind == JobKind::Gang && indexes.size() != this->taskList.size()) {
        indexes.clear();
    }
    return indexes;
}

std::int64_t Job::nextPlaceableAt() const
{
    std::int64_t earliest = std::numeric_limits<std::int64_t>::max();
    for (const wire::TaskRecordT &task : this->taskList) {
        if (task.state == TaskState::Queued) {
            earliest = std::min(earliest, task.notBeforeMicros);
        }
    }
    return earliest;
}

bool Job::isQueued(std::uint32_t index) const
{
    return index < this->taskList.size() && this->taskList[index].state == TaskState::Queued;
}

void Job::place(std::uint32_t index, const std::string &worker, std::uint64_t epoch)
{
    wire::TaskRecordT &task = this->taskList[index];
    this->setState(task, TaskState::Placed);
    task.worker = worker;
    task.epoch = epoch;
    task.startedAtMicros = 0;
}

bool Job::holds(std::uint32_t index, std::uint64_t epoch) const
{
    return index < this->taskList.size() && this->taskList[index].epoch == epoch && isActive(this->taskList[index].state);
}

bool Job::markStarted(std::uint32_t index, std::uint64_t epoch, std::int64_t atMicros)
{
    if (!this->holds(index, epoch)) {
        return false;
    }
    if (this->taskList[index].state == TaskState::Placed) {
        this->setState(this->taskList[index], TaskState::Running);
        this->taskList[index].startedAtMicros = atMicros;
        this->data.firstStartAtMicros = this->data.firstStartAtMicros == 0 ? atMicros : this->data.firstStartAtMicros;
    }
    return true;
}

bool Job::mayRetry(const wire::TaskRecordT &task) const
{
    return this->spec().kind == JobKind::Service || task.attempts < this->spec().maxAttempts;
}

void Job::requeue(wire::TaskRecordT &task, std::int64_t atMicros, bool countAttempt)
{
    if (countAttempt) {
        ++task.attempts;
    }
    if (!this->mayRetry(task)) {
        this->setState(task, TaskState::Failed);
        return;
    }
    task.notBeforeMicros = countAttempt ? atMicros + backoffMicros(task.attempts) : atMicros;
    this->setState(task, TaskState::Queued);
}

void Job::requeueAfterLoss(wire::TaskRecordT &task, std::int64_t atMicros)
{
    const bool isService = this->spec().kind == JobKind::Service;
    const bool hasSettled = task.startedAtMicros > 0 && atMicros - task.startedAtMicros >= settledMicros;
    task.losses = isService && hasSettled ? 1 : task.losses + 1;
    if (!isService && task.losses >= maxLosses) {
        this->setState(task, TaskState::Failed);
        return;
    }
    // A single loss is weak evidence against the task, which is therefore placed again without backoff.
    task.notBeforeMicros = task.losses > 1 ? atMicros + backoffMicros(task.losses - 1) : atMicros;
    this->setState(task, TaskState::Queued);
}

void Job::endTask(wire::TaskRecordT &task, AttemptEnd end, std::int64_t atMicros)
{
    const bool isService = this->spec().kind == JobKind::Service;
    const bool hasRun = end == AttemptEnd::Succeeded || end == AttemptEnd::Failed;
    if (hasRun && this->data.firstStartAtMicros == 0) {
        this->data.firstStartAtMicros = atMicros; // The end was reported before the start.
    }
    if (end == AttemptEnd::Succeeded && !isService) {
        this->setState(task, TaskState::Succeeded);
    } else if (this->spec().atMostOnce && end == AttemptEnd::Unknown) {
        this->setState(task, TaskState::Lost);
    } else if (task.cancelled) {
        this->setState(task, TaskState::Cancelled);
    } else if (end == AttemptEnd::NeverStarted) {
        this->requeue(task, atMicros, false);
    } else if (this->spec().atMostOnce) {
        // Independent of the recorded state: a worker that reports the end of a task has run it.
        this->setState(task, TaskState::Failed);
    } else if (end == AttemptEnd::Unknown && task.state != TaskState::Stopping) {
        this->requeueAfterLoss(task, atMicros);
    } else {
        // A requested stop doesn't count as a failed attempt of the task.
        this->requeue(task, atMicros, end == AttemptEnd::Failed || end == AttemptEnd::Succeeded);
    }
}

std::vector<ReleasedReservation> Job::endAttempt(std::uint32_t index, std::uint64_t epoch, AttemptEnd end, std::int64_t atMicros)
{
    if (!this->holds(index, epoch)) {
        return {};
    }
    wire::TaskRecordT &task = this->taskList[index];
    std::vector<ReleasedReservation> released{{{this->id(), index}, task.worker}};
    this->endTask(task, end, atMicros);
    if (this->spec().kind == JobKind::Gang && task.state != TaskState::Succeeded && task.state != TaskState::Cancelled) {
        this->data.gangRestarting = true;
    }
    if (this->data.gangRestarting) {
        this->restartGang(atMicros);
    }
    this->recordEnd(atMicros);
    return released;
}

void Job::restartGang(std::int64_t atMicros)
{
    bool anyActive = false;
    std::uint32_t attempts = 0;
    std::uint32_t losses = 0;
    std::int64_t notBefore = 0;
    bool anyLost = false;
    bool anyCancelled = false;
    for (wire::TaskRecordT &task : this->taskList) {
        if (isActive(task.state)) {
            anyActive = true;
            this->setState(task, TaskState::Stopping);
        }
        attempts = std::max(attempts, task.attempts);
        losses = std::max(losses, task.losses);
        notBefore = std::max(notBefore, task.notBeforeMicros);
        anyLost = anyLost || task.state == TaskState::Lost;
        anyCancelled = anyCancelled || task.cancelled;
    }
    if (anyActive) {
        return;
    }
    this->data.gangRestarting = false;
    const bool mayRestart = !anyLost && !anyCancelled && !this->spec().atMostOnce && attempts < this->spec().maxAttempts && losses < maxLosses;
    for (wire::TaskRecordT &task : this->taskList) {
        task.attempts = attempts;
        if (mayRestart) {
            task.notBeforeMicros = std::max(notBefore, attempts > 0 ? atMicros + backoffMicros(attempts) : atMicros);
            this->setState(task, TaskState::Queued);
        } else if (task.state == TaskState::Queued) {
            this->setState(task, anyCancelled ? TaskState::Cancelled : TaskState::Failed);
        }
    }
}

void Job::cancel(std::int64_t atMicros)
{
    for (wire::TaskRecordT &task : this->taskList) {
        if (task.state == TaskState::Queued) {
            task.cancelled = true;
            this->setState(task, TaskState::Cancelled);
        } else if (isActive(task.state)) {
            task.cancelled = true;
            this->setState(task, TaskState::Stopping);
        }
    }
    this->recordEnd(atMicros);
}

void Job::requestMove(std::uint32_t index)
{
    if (isActive(this->taskList[index].state)) {
        this->setState(this->taskList[index], TaskState::Stopping);
    }
}

void Job::recordEnd(std::int64_t atMicros)
{
    if (this->hasEnded() && this->data.endedAtMicros == 0) {
        this->data.endedAtMicros = atMicros;
    }
}

wire::JobRecordT Job::pack() const
{
    wire::JobRecordT packed(this->data);
    for (const wire::TaskRecordT &task : this->taskList) {
        packed.tasks.push_back(std::make_unique<wire::TaskRecordT>(task));
    }
    return packed;
}

} // namespace paddlepier::ledger
