// The order in which waiting steps are planned.

#include "paddlepier/planning/steporder.h"

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

/**
 * Slack that a job needs to start, as a share of its remaining work: its tasks are placed one by one as capacity and tickets become
 * available, and the following steps wait for the last of them.
 */
constexpr double minSlackToStart = 0.7;

/** Relative change of a queue's typical ratio that re-evaluates its jobs; far below the usual error of estimates. */
constexpr double ratioTolerance = 0.05;

constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

/** A task of the step has been placed. If all its runs were preempted, the first task still has a run number. */
bool wasPlaced(const workload::Step &step)
{
    return step.runningTasks > 0 || step.doneTasks > 0 || step.tasks.front().lastRun > 0;
}

double slackBeyondStart(const ObjectiveForecast &forecast)
{
    return forecast.slackMillis - minSlackToStart * forecast.remainingMillis;
}

bool isTooLateToStart(const ObjectiveForecast &forecast)
{
    return forecast.status == ObjectiveStatus::InTime && slackBeyondStart(forecast) < 0;
}

std::uint32_t rankOf(const workload::Job &job, const ObjectiveForecast &forecast)
{
    const std::uint32_t priority = job.queue().priority;
    return priority > 1 && forecast.hasLowSlack() ? priority - 1 : priority;
}

/** Time after which the evaluation of @p forecast changes if nothing but time passes. */
std::int64_t millisUntilChange(const ObjectiveForecast &forecast)
{
    double nearest = std::numeric_limits<double>::infinity();
    for (const double slack : {forecast.slackMillis, forecast.slackMillis - forecast.remainingMillis, slackBeyondStart(forecast), forecast.lateSlackMillis}) {
        nearest = slack >= 0 ? std::min(nearest, slack) : nearest;
    }
    return std::isinf(nearest) ? never : static_cast<std::int64_t>(nearest) + 1;
}

bool isWaiting(const workload::Step &progress, const work::StepSpecT &step)
{
    return progress.waitingTasks > 0 && progress.openPredecessors == 0 && !(step.isGang && progress.runningTasks > 0);
}

} // namespace

const work::StepSpecT &WaitingStep::step() const
{
    return this->job->stepSpec(this->key.step);
}

bool WaitingStep::operator<(const WaitingStep &other) const
{
    const auto sortKey = [](const WaitingStep &entry) { return std::tuple(entry.rank, entry.forecast.status, !entry.hasStarted, entry.submittedAtMillis); };
    if (sortKey(*this) != sortKey(other)) {
        return sortKey(*this) < sortKey(other);
    }
    return this->key < other.key;
}

StepOrder::StepOrder(const workload::Workload &workloadState, const ObjectiveForecaster &jobForecaster)
    : state(workloadState)
    , forecaster(jobForecaster)
{
}

const std::set<WaitingStep> &StepOrder::steps() const
{
    return this->order;
}

const std::vector<std::string> &StepOrder::services() const
{
    return this->serviceNames;
}

const std::map<std::pair<std::uint32_t, std::uint32_t>, std::size_t> &StepOrder::stepCounts() const
{
    return this->counts;
}

std::uint64_t StepOrder::reorderedJobs() const
{
    return this->reorderCount;
}

void StepOrder::update(std::int64_t wallMillis)
{
    std::set<std::string> jobs = this->drainChangedJobs(wallMillis);
    this->addJobsWithChangedRatio(jobs);
    for (const std::string &id : jobs) {
        this->reorderJob(id, wallMillis);
    }
}

std::set<std::string> StepOrder::drainChangedJobs(std::int64_t wallMillis)
{
    std::set<std::string> jobs;
    const bool isComplete = this->state.jobChanges().visitSince(this->readUntil, [&jobs](const std::string &id) { jobs.insert(id); });
    if (!isComplete) {
        // The change log doesn't reach back far enough. Entries may point to removed jobs and must not be dereferenced.
        this->order.clear();
        this->byJob.clear();
        this->counts.clear();
        jobs = this->state.waitingJobs();
    }
    this->readUntil = this->state.jobChanges().end();
    while (std::optional<std::string> id = this->reorderTimers.popExpired(absl::FromUnixMillis(wallMillis))) {
        jobs.insert(std::move(*id));
    }
    return jobs;
}

void StepOrder::addJobsWithChangedRatio(std::set<std::string> &jobs)
{
    std::set<std::string> queues;
    for (auto &[queue, ratio] : this->assumedRatios) {
        const double typical = this->forecaster.typicalRatio(queue);
        if (std::abs(typical - ratio) > ratioTolerance * ratio) {
            ratio = typical;
            queues.insert(queue);
        }
    }
    if (queues.empty()) {
        return;
    }
    for (const WaitingStep &waiting : this->order) {
        if (queues.contains(waiting.job->queue().name)) {
            jobs.insert(waiting.job->id());
        }
    }
}

void StepOrder::removeSteps(const std::string &id)
{
    const auto existing = this->byJob.find(id);
    if (existing == this->byJob.end()) {
        return;
    }
    for (const auto &entry : existing->second) {
        const auto count = this->counts.find({entry->rank, entry->service});
        if (--count->second == 0) {
            this->counts.erase(count);
        }
        this->order.erase(entry);
    }
    this->byJob.erase(existing);
}

void StepOrder::reorderJob(const std::string &id, std::int64_t wallMillis)
{
    ++this->reorderCount;
    this->removeSteps(id);
    if (!this->state.waitingJobs().contains(id)) {
        return;
    }
    const workload::Job &job = *this->state.findJob(id);
    std::int64_t next = never;
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences().size(); ++occurrence) {
        if (job.dueMillis(occurrence) > wallMillis) {
            next = std::min(next, job.dueMillis(occurrence));
            break;
        }
        next = std::min(next, this->reorderOccurrence(job, occurrence, wallMillis));
    }
    if (next < never) {
        this->reorderTimers.schedule(id, absl::FromUnixMillis(next));
    }
}

std::int64_t StepOrder::reorderOccurrence(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis)
{
    const std::vector<workload::Step> &steps = job.occurrences()[occurrence].steps;
    const bool hasStarted = std::any_of(steps.begin(), steps.end(), wasPlaced);
    const auto service = std::find(this->serviceNames.begin(), this->serviceNames.end(), job.queue().service);
    const auto serviceNumber = static_cast<std::uint32_t>(service - this->serviceNames.begin());
    if (service == this->serviceNames.end()) {
        this->serviceNames.push_back(job.queue().service);
    }
    std::optional<ObjectiveForecast> forecast;
    for (std::uint32_t number = 0; number < steps.size(); ++number) {
        const work::StepSpecT &step = job.stepSpec(number);
        if (!isWaiting(steps[number], step)) {
            continue;
        }
        WaitingStep entry;
        entry.job = &job;
        entry.submittedAtMillis = job.submittedAtMillis();
        entry.service = serviceNumber;
        entry.key = {job.id(), occurrence, number};
        entry.hasStarted = hasStarted;
        entry.evaluatedAtMillis = wallMillis;
        if (!step.isLasting) {
            // A lasting step never ends, so that it has no objective.
            forecast = forecast ? forecast : this->forecaster.forecast(job, occurrence, wallMillis);
            entry.forecast = *forecast;
            const std::string &queue = job.queue().name;
            this->assumedRatios.try_emplace(queue, this->forecaster.typicalRatio(queue));
        }
        if (!hasStarted && isTooLateToStart(entry.forecast)) {
            entry.forecast.status = ObjectiveStatus::Late;
        }
        entry.rank = rankOf(job, entry.forecast);
        ++this->counts[{entry.rank, serviceNumber}];
        this->byJob[job.id()].push_back(this->order.insert(entry).first);
    }
    const std::int64_t untilChange = forecast ? millisUntilChange(*forecast) : never;
    return untilChange == never ? never : wallMillis + untilChange;
}

PendingStep StepOrder::pendingStep(const WaitingStep &waiting, std::int64_t wallMillis)
{
    PendingStep pending;
    pending.job = waiting.job;
    pending.key = waiting.key;
    pending.step = &waiting.step();
    pending.progress = &waiting.job->occurrences()[waiting.key.occurrence].steps[waiting.key.step];
    pending.hasStarted = waiting.hasStarted;
    pending.forecast = waiting.forecast;
    if (!pending.step->isLasting) {
        const auto passed = static_cast<double>(wallMillis - waiting.evaluatedAtMillis);
        pending.forecast.slackMillis -= passed;
        pending.forecast.lateSlackMillis -= passed;
    }
    pending.tasks.reserve(pending.progress->waitingTasks);
    for (std::uint32_t index = 0; index < pending.progress->tasks.size(); ++index) {
        if (!pending.progress->tasks[index].isDone && !pending.progress->tasks[index].hasRun()) {
            pending.tasks.push_back(index);
        }
    }
    return pending;
}

std::vector<PendingStep> StepOrder::collect(std::int64_t wallMillis)
{
    this->update(wallMillis);
    std::vector<PendingStep> pending;
    pending.reserve(this->order.size());
    for (const WaitingStep &waiting : this->order) {
        pending.push_back(pendingStep(waiting, wallMillis));
    }
    return pending;
}

} // namespace paddlepier::planning
