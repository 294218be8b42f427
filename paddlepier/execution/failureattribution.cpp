// Decides whether a failed run is evidence against its worker or against its job.

#include "paddlepier/execution/failureattribution.h"

#include "paddlepier/planning/eligibility.h"

#include <algorithm>
#include <array>

namespace paddlepier::execution
{

namespace
{

/** Bounds of the number of failed workers after which a step may be the cause: most of those that offer its service. */
constexpr std::size_t minFailedWorkers = 2;
constexpr std::size_t maxFailedWorkers = 3;

/** A step is the cause if it fails on more than this many workers for each run that does well. */
constexpr std::size_t failedWorkersPerHealthyRun = 2;

constexpr std::uint32_t maxBlamedRunsOfTask = 2;

} // namespace

const char *nameOf(FailureCause cause)
{
    static constexpr std::array<const char *, 3> names{"worker", "unclear", "job"};
    return names.at(static_cast<std::size_t>(cause));
}

FailureCause FailureAttribution::recordFailedRun(const workload::TaskKey &task, const workload::Incarnation &worker, const StepEvidence &evidence)
{
    Entry &entry = this->byStep[task.stepKey()];
    entry.workers.insert(worker);
    const std::uint32_t failuresOfTask = ++entry.failuresByTask[task.index];
    const std::size_t failedWorkers = entry.workers.size();
    const bool hasFailedWidely = failedWorkers >= std::clamp(evidence.workers / 2 + 1, minFailedWorkers, maxFailedWorkers);
    if (hasFailedWidely && failedWorkers > failedWorkersPerHealthyRun * evidence.healthyRuns) {
        return FailureCause::Job;
    }
    const bool isSaturated = evidence.healthyRuns == 0 && evidence.failuresOnWorker >= planning::suspectFailureThreshold;
    return failuresOfTask > maxBlamedRunsOfTask || isSaturated ? FailureCause::Unclear : FailureCause::Worker;
}

const std::set<workload::Incarnation> &FailureAttribution::failedWorkers(const workload::StepKey &step) const
{
    static const std::set<workload::Incarnation> none;
    const auto found = this->byStep.find(step);
    return found == this->byStep.end() ? none : found->second.workers;
}

} // namespace paddlepier::execution
