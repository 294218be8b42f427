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
 * What a job needs beyond its remaining work, as a share of it, to end in time: its tasks are placed one after the other as room and
 * tickets come, and the next steps wait for the last of them.
 */
constexpr double leastSlackToBegin = 0.7;

/** A queue's jobs are judged anew when its runs take so much more or less than was assumed; far below what estimates are wrong by. */
constexpr double ratioTolerance = 0.05;

constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

/** A task of the step has been placed. Of one that was preempted as a whole, the first task tells. */
bool wasPlaced(const workload::Step &step)
{
    return step.runningTasks > 0 || step.doneTasks > 0 || step.tasks.front().lastRun > 0;
}

double slackBeyondBeginning(const ObjectiveForecast &prospect)
{
    return prospect.slackMillis - leastSlackToBegin * prospect.remainingMillis;
}

bool isTooLateToBegin(const ObjectiveForecast &prospect)
{
    return prospect.status == ObjectiveStatus::InTime && slackBeyondBeginning(prospect) < 0;
}

std::uint32_t rankOf(const workload::Job &job, const ObjectiveForecast &prospect)
{
    const std::uint32_t priority = job.queue().priority;
    return priority > 1 && prospect.hasLowSlack() ? priority - 1 : priority;
}

/** After how long a judgement by @p prospect is another one, if nothing but the time changes. */
std::int64_t millisUntilChange(const ObjectiveForecast &prospect)
{
    double least = std::numeric_limits<double>::infinity();
    for (const double slack :
         {prospect.slackMillis, prospect.slackMillis - prospect.remainingMillis, slackBeyondBeginning(prospect), prospect.lateSlackMillis}) {
        least = slack >= 0 ? std::min(least, slack) : least;
    }
    return std::isinf(least) ? never : static_cast<std::int64_t>(least) + 1;
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
    const auto place = [](const WaitingStep &entry) {
        return std::tuple(entry.rank, entry.forecast.status, !entry.hasStarted, entry.job->submittedAtMillis());
    };
    if (place(*this) != place(other)) {
        return place(*this) < place(other);
    }
    return this->key < other.key;
}

StepOrder::StepOrder(const workload::Workload &workloadState, const ObjectiveForecaster &jobProspects)
    : state(workloadState)
    , forecaster(jobProspects)
{
}

const std::set<WaitingStep> &StepOrder::steps() const
{
    return this->order;
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
    const bool reachesBack = this->state.jobChanges().visitSince(this->readUntil, [&jobs](const std::string &id) { jobs.insert(id); });
    if (!reachesBack) {
        // Jobs may be gone: nothing of them is looked at any more.
        this->order.clear();
        this->byJob.clear();
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
        const double usual = this->forecaster.typicalRatio(queue);
        if (std::abs(usual - ratio) > ratioTolerance * ratio) {
            ratio = usual;
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

void StepOrder::reorderJob(const std::string &id, std::int64_t wallMillis)
{
    ++this->reorderCount;
    const auto known = this->byJob.find(id);
    if (known != this->byJob.end()) {
        for (const auto &entry : known->second) {
            this->order.erase(entry);
        }
        this->byJob.erase(known);
    }
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
    const bool hasBegun = std::any_of(steps.begin(), steps.end(), wasPlaced);
    std::optional<ObjectiveForecast> prospect;
    for (std::uint32_t number = 0; number < steps.size(); ++number) {
        const work::StepSpecT &step = job.stepSpec(number);
        if (!isWaiting(steps[number], step)) {
            continue;
        }
        WaitingStep entry;
        entry.job = &job;
        entry.key = {job.id(), occurrence, number};
        entry.hasStarted = hasBegun;
        entry.evaluatedAtMillis = wallMillis;
        if (!step.isLasting) {
            // What is to last has no end to meet.
            prospect = prospect ? prospect : this->forecaster.forecast(job, occurrence, wallMillis);
            entry.forecast = *prospect;
            const std::string &queue = job.queue().name;
            this->assumedRatios.try_emplace(queue, this->forecaster.typicalRatio(queue));
        }
        if (!hasBegun && isTooLateToBegin(entry.forecast)) {
            entry.forecast.status = ObjectiveStatus::Late;
        }
        entry.rank = rankOf(job, entry.forecast);
        this->byJob[job.id()].push_back(this->order.insert(entry).first);
    }
    const std::int64_t change = prospect ? millisUntilChange(*prospect) : never;
    return change == never ? never : wallMillis + change;
}

PendingStep StepOrder::pendingStep(const WaitingStep &waiting, std::int64_t wallMillis)
{
    PendingStep wanted;
    wanted.job = waiting.job;
    wanted.key = waiting.key;
    wanted.step = &waiting.step();
    wanted.progress = &waiting.job->occurrences()[waiting.key.occurrence].steps[waiting.key.step];
    wanted.hasStarted = waiting.hasStarted;
    wanted.forecast = waiting.forecast;
    if (!wanted.step->isLasting) {
        const auto passed = static_cast<double>(wallMillis - waiting.evaluatedAtMillis);
        wanted.forecast.slackMillis -= passed;
        wanted.forecast.lateSlackMillis -= passed;
    }
    wanted.tasks.reserve(wanted.progress->waitingTasks);
    for (std::uint32_t index = 0; index < wanted.progress->tasks.size(); ++index) {
        if (!wanted.progress->tasks[index].isDone && !wanted.progress->tasks[index].hasRun()) {
            wanted.tasks.push_back(index);
        }
    }
    return wanted;
}

std::vector<PendingStep> StepOrder::collect(std::int64_t wallMillis)
{
    this->update(wallMillis);
    std::vector<PendingStep> wanted;
    wanted.reserve(this->order.size());
    for (const WaitingStep &waiting : this->order) {
        wanted.push_back(pendingStep(waiting, wallMillis));
    }
    return wanted;
}

} // namespace paddlepier::planning
