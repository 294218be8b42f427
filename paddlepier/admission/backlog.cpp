// The work of accepted jobs that waits or is left of active runs.

#include "paddlepier/admission/backlog.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace paddlepier::admission
{

namespace
{

constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

/** Relative change of a queue's typical ratio that re-evaluates its jobs: a twentieth of the wait, far below the error of estimates (30 %). */
constexpr double ratioTolerance = 0.05;

bool hasLastingStep(const work::JobSpecT &spec)
{
    return std::any_of(spec.steps.begin(), spec.steps.end(), [](const auto &step) { return step->isLasting; });
}

} // namespace

Holder holderOf(const std::string &team, const std::string &queue)
{
    return {team, team.empty() ? queue : ""};
}

void Backlog::Amount::add(const Amount &other, std::int64_t sign)
{
    this->waitingWork += sign * other.waitingWork;
    this->waitingDemand += sign * other.waitingDemand;
    this->runningDemand += sign * other.runningDemand;
    this->runningUntil += sign * other.runningUntil;
    this->jobs += sign * other.jobs;
}

std::int64_t Backlog::Amount::workAt(std::int64_t millisSinceOrigin) const
{
    return this->waitingWork + this->runningUntil - this->runningDemand * millisSinceOrigin;
}

Backlog::Backlog(const workload::Workload &workloadState, const planning::ObjectiveForecaster &jobForecaster, std::int64_t startMillis)
    : state(workloadState)
    , forecaster(jobForecaster)
    , origin(startMillis)
{
}

void Backlog::update(std::int64_t wallMillis)
{
    std::set<std::string> changed;
    if (!this->state.jobChanges().visitSince(this->readUntil, [&changed](const std::string &id) { changed.insert(id); })) {
        this->rebuild(wallMillis);
        changed.clear();
    }
    this->readUntil = this->state.jobChanges().end();
    while (std::optional<std::string> id = this->timers.popExpired(absl::FromUnixMillis(wallMillis))) {
        changed.insert(std::move(*id));
    }
    for (const std::string &id : changed) {
        this->updateJob(id, wallMillis, false);
    }
    this->applyChangedRatios(wallMillis);
}

void Backlog::rebuild(std::int64_t wallMillis)
{
    for (const auto &[id, contribution] : this->byJob) {
        this->add(contribution, -1);
    }
    this->byJob.clear();
    for (const std::string &id : this->state.activeJobs()) {
        this->updateJob(id, wallMillis, true);
    }
}

void Backlog::applyChangedRatios(std::int64_t wallMillis)
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
    std::vector<std::string> jobs;
    for (const auto &[id, contribution] : this->byJob) {
        if (queues.contains(contribution.queue)) {
            jobs.push_back(id);
        }
    }
    for (const std::string &id : jobs) {
        this->updateJob(id, wallMillis, false);
    }
}

void Backlog::updateJob(const std::string &id, std::int64_t wallMillis, bool isRebuilding)
{
    ++this->evaluationCount;
    const auto known = this->byJob.find(id);
    const bool isNew = known == this->byJob.end();
    if (!isNew) {
        this->add(known->second, -1);
        this->byJob.erase(known);
    }
    const workload::Job *job = this->state.findJob(id);
    if (job == nullptr || job->hasEnded()) {
        return;
    }
    const work::QueueSpecT &queue = job->queue();
    Contribution contribution{queue.service, queue.name, queue.priority, holderOf(job->team(), queue.name), {}, hasLastingStep(job->spec())};
    if (!contribution.isLasting) {
        this->assumedRatios.try_emplace(queue.name, this->forecaster.typicalRatio(queue.name));
        contribution.amount = this->evaluate(*job, wallMillis);
    }
    this->add(contribution, 1);
    if (isNew && !isRebuilding) {
        // The jobs of a rebuild were accepted before: counting them would look like a burst.
        this->priorityBacklog(queue.service, queue.priority).accepted.record(wallMillis, contribution.amount.workAt(wallMillis - this->origin));
    }
    this->byJob.emplace(id, std::move(contribution));
}

void Backlog::add(const Contribution &contribution, std::int64_t sign)
{
    this->byService[contribution.service].lastingJobs += contribution.isLasting ? sign : 0;
    if (contribution.amount.jobs == 0) {
        return;
    }
    PriorityBacklog &backlog = this->priorityBacklog(contribution.service, contribution.priority);
    backlog.total.add(contribution.amount, sign);
    const auto held = backlog.byHolder.try_emplace(contribution.holder).first;
    held->second.add(contribution.amount, sign);
    if (held->second.jobs == 0) {
        backlog.byHolder.erase(held);
    }
}

Backlog::Amount Backlog::evaluate(const workload::Job &job, std::int64_t wallMillis)
{
    Amount amount;
    std::int64_t next = never;
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences().size(); ++occurrence) {
        if (job.dueMillis(occurrence) > wallMillis) {
            next = std::min(next, job.dueMillis(occurrence));
            break;
        }
        next = std::min(next, this->addOccurrence(job, occurrence, wallMillis, amount));
    }
    amount.jobs = amount.waitingWork > 0 || amount.runningDemand > 0 ? 1 : 0;
    if (next < never) {
        this->timers.schedule(job.id(), absl::FromUnixMillis(next));
    }
    return amount;
}

std::int64_t Backlog::addOccurrence(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis, Amount &amount) const
{
    const planning::ObjectiveForecast forecast = this->forecaster.forecast(job, occurrence, wallMillis);
    if (forecast.status == planning::ObjectiveStatus::Unattainable) {
        return never;
    }
    std::int64_t next = wallMillis + static_cast<std::int64_t>(forecast.lateSlackMillis) + 1;
    const double ratio = this->forecaster.typicalRatio(job.queue().name);
    const std::vector<workload::Step> &steps = job.occurrences()[occurrence].steps;
    for (std::uint32_t number = 0; number < steps.size(); ++number) {
        const workload::Step &step = steps[number];
        const work::StepSpecT &spec = job.stepSpec(number);
        const std::int64_t demand = workload::demandOf(spec).milliProcessors();
        const std::int64_t duration = std::llround(spec.estimatedMillis * ratio);
        amount.waitingWork += step.waitingTasks * demand * duration;
        amount.waitingDemand += step.openPredecessors == 0 ? step.waitingTasks * demand : 0;
        for (std::size_t index = 0; step.runningTasks > 0 && index < step.tasks.size(); ++index) {
            const workload::Task &task = step.tasks[index];
            const std::int64_t end = task.placedAtMillis + duration;
            if (task.isDone || !task.hasRun() || end <= wallMillis) {
                continue;
            }
            amount.runningDemand += demand;
            amount.runningUntil += demand * (end - this->origin);
            next = std::min(next, end);
        }
    }
    return next;
}

Backlog::PriorityBacklog &Backlog::priorityBacklog(const std::string &service, std::uint32_t priority)
{
    return this->byService[service].byPriority.try_emplace(priority, PriorityBacklog{{}, {}, WorkRate(this->origin)}).first->second;
}

const Backlog::PriorityBacklog *Backlog::findPriority(const std::string &service, std::uint32_t priority) const
{
    const auto found = this->byService.find(service);
    if (found == this->byService.end()) {
        return nullptr;
    }
    const auto backlog = found->second.byPriority.find(priority);
    return backlog == found->second.byPriority.end() ? nullptr : &backlog->second;
}

std::int64_t Backlog::workUpTo(const std::string &service, std::uint32_t priority, std::int64_t wallMillis) const
{
    std::int64_t work = 0;
    const auto found = this->byService.find(service);
    if (found != this->byService.end()) {
        for (const auto &[level, backlog] : found->second.byPriority) {
            work += level <= priority ? backlog.total.workAt(wallMillis - this->origin) : 0;
        }
    }
    return work;
}

std::int64_t Backlog::workOf(const std::string &service, std::uint32_t priority, const Holder &holder, std::int64_t wallMillis) const
{
    const PriorityBacklog *backlog = this->findPriority(service, priority);
    if (backlog == nullptr) {
        return 0;
    }
    const auto held = backlog->byHolder.find(holder);
    return held == backlog->byHolder.end() ? 0 : held->second.workAt(wallMillis - this->origin);
}

std::vector<Holder> Backlog::activeHolders(const std::string &service, std::uint32_t priority) const
{
    std::vector<Holder> holders;
    if (const PriorityBacklog *backlog = this->findPriority(service, priority)) {
        for (const auto &[holder, amount] : backlog->byHolder) {
            holders.push_back(holder);
        }
    }
    return holders;
}

double Backlog::moreUrgentRate(const std::string &service, std::uint32_t priority, std::int64_t wallMillis) const
{
    double rate = 0;
    const auto found = this->byService.find(service);
    if (found != this->byService.end()) {
        for (const auto &[level, backlog] : found->second.byPriority) {
            rate += level < priority ? backlog.accepted.perMilli(wallMillis) : 0;
        }
    }
    return rate;
}

std::int64_t Backlog::waitingDemand(const std::string &service) const
{
    std::int64_t demand = 0;
    const auto found = this->byService.find(service);
    if (found != this->byService.end()) {
        for (const auto &[level, backlog] : found->second.byPriority) {
            demand += backlog.total.waitingDemand;
        }
    }
    return demand;
}

bool Backlog::hasLastingJob(const std::string &service) const
{
    const auto found = this->byService.find(service);
    return found != this->byService.end() && found->second.lastingJobs > 0;
}

std::uint64_t Backlog::evaluatedJobs() const
{
    return this->evaluationCount;
}

} // namespace paddlepier::admission
