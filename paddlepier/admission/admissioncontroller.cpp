// Decides at submission whether a job is accepted.

#include "paddlepier/admission/admissioncontroller.h"

#include <algorithm>
#include <cmath>
#include <vector>
#include <xxhash.h>

namespace paddlepier::admission
{

namespace
{

/** Of the 5 s over which rates are averaged, the part that must have been measured. */
constexpr std::int64_t measuringMillis = 2000;

/** Share of the capacity that a queue is assumed to get at least: planning by objective serves some jobs of each queue. */
constexpr double minAvailableShare = 0.05;

/**
 * With less of the capacity reserved, jobs wait for advice, tickets or workers that may run them, and the forecast, which counts capacity alone,
 * says nothing about them. Tasks that don't divide a worker evenly leave up to an eighth of a full cell free.
 */
constexpr double minReservedShare = 0.85;

/** Shortest interval over which callers are spread: in whole seconds, a shorter one would give all of them the same value. */
constexpr double minSpreadMillis = 2000;

/** Load changes within seconds, so that a longer wait would leave capacity unused. */
constexpr double maxRetrySeconds = 30;

/** Deterministic value in [0, 1). */
double spreadOf(const std::string &id)
{
    constexpr double steps = 1024;
    return static_cast<double>(XXH3_64bits(id.data(), id.size()) % static_cast<std::uint64_t>(steps)) / steps;
}

Decision refuse(Refusal reason, const std::string &id, double forecastMillis, double drainMillis)
{
    const double retryMillis = drainMillis + spreadOf(id) * std::max(drainMillis, minSpreadMillis);
    const double seconds = std::clamp(std::ceil(retryMillis / 1000), 1.0, maxRetrySeconds);
    return {reason, std::llround(forecastMillis), static_cast<std::uint32_t>(seconds)};
}

} // namespace

const char *nameOf(Refusal refusal)
{
    switch (refusal) {
    case Refusal::None:
        break;
    case Refusal::Backlog:
        return "backlog";
    case Refusal::TeamShare:
        return "team-share";
    }
    return "none";
}

AdmissionController::AdmissionController(const workload::Workload &workloadState,
                                         const std::map<std::string, double> &typicalRatiosByQueue,
                                         std::int64_t startMillis)
    : state(workloadState)
    , forecaster(typicalRatiosByQueue)
    , startedAt(startMillis)
    , backlog(this->state, this->forecaster, startMillis)
{
}

void AdmissionController::update(std::int64_t wallMillis)
{
    this->backlog.update(wallMillis);
    this->readWeights();
}

void AdmissionController::readWeights()
{
    const work::ChangeConfigurationT &configuration = this->state.configuration();
    if (this->weightsVersion == configuration.version) {
        return;
    }
    this->weightsVersion = configuration.version;
    this->weights.clear();
    double sum = 0;
    for (const auto &team : configuration.teams) {
        sum += this->weights[team->name] = std::max<std::uint32_t>(1, team->weight);
    }
    this->averageWeight = configuration.teams.empty() ? 1 : sum / static_cast<double>(configuration.teams.size());
}

void AdmissionController::recordProposal(const std::string &id)
{
    this->proposedJobs.insert(id);
}

void AdmissionController::recordOutcome(const std::string &id, bool isDefinite)
{
    if (isDefinite) {
        this->proposedJobs.erase(id);
    }
}

bool AdmissionController::isEnabled(const Submission &submission, const execution::ServiceCapacity &capacity, std::int64_t wallMillis) const
{
    const work::QueueSpecT &queue = submission.queue;
    const auto &steps = submission.spec.steps;
    const bool isLasting = std::any_of(steps.begin(), steps.end(), [](const auto &step) { return step->isLasting; });
    const bool isMeasured = wallMillis - this->startedAt >= measuringMillis && capacity.usable > 0;
    // The load at the later occurrences of a repeated job can't be forecast.
    return isMeasured && !isLasting && submission.spec.repetitions == 0 && !this->backlog.hasLastingJob(queue.service)
           && static_cast<double>(capacity.reserved) >= minReservedShare * static_cast<double>(capacity.usable)
           && this->backlog.waitingDemand(queue.service) > static_cast<std::int64_t>(capacity.usable);
}

Decision AdmissionController::decide(const Submission &submission, const execution::ServiceCapacity &capacity, std::int64_t wallMillis)
{
    this->update(wallMillis);
    const work::QueueSpecT &queue = submission.queue;
    const auto usable = static_cast<double>(capacity.usable);
    const double available = std::max(usable - this->backlog.moreUrgentRate(queue.service, queue.priority, wallMillis), minAvailableShare * usable);
    const auto work = static_cast<double>(this->backlog.workUpTo(queue.service, queue.priority, wallMillis));
    const double wait = available > 0 ? work / available : 0;
    const Decision accepted{Refusal::None, std::llround(wait), 0};
    if (!this->isEnabled(submission, capacity, wallMillis) || this->proposedJobs.contains(submission.id)) {
        return accepted;
    }
    const double slack = this->forecaster.forecast(submission.spec, queue).slackMillis;
    if (slack <= 0) {
        // The queue's objective can't be met under any load, so that it says nothing about this one.
        return accepted;
    }
    if (wait > slack) {
        return refuse(Refusal::Backlog, submission.id, wait, wait - slack);
    }
    const Holder holder = holderOf(submission.team, queue.name);
    const auto held = static_cast<double>(this->backlog.workOf(queue.service, queue.priority, holder, wallMillis));
    const double share = this->weightOf(holder) / this->activeWeight(queue, holder);
    const double threshold = share * (slack * available - work);
    // Jobs without a team that compete with no team have nobody to leave a part of the limit to.
    if (held <= threshold || (submission.team.empty() && share >= 1)) {
        return accepted;
    }
    // While the backlog drains, the team's part of it shrinks and its threshold grows.
    const double approach = available * (held / work + share);
    return refuse(Refusal::TeamShare, submission.id, wait, (held - threshold) / approach);
}

double AdmissionController::weightOf(const Holder &holder) const
{
    const auto weight = this->weights.find(holder.team);
    return weight == this->weights.end() ? this->averageWeight : weight->second;
}

double AdmissionController::activeWeight(const work::QueueSpecT &queue, const Holder &own) const
{
    double sum = this->weightOf(own);
    for (const Holder &holder : this->backlog.activeHolders(queue.service, queue.priority)) {
        sum += holder == own ? 0 : this->weightOf(holder);
    }
    return sum;
}

} // namespace paddlepier::admission
