// Decides whether a failed run is evidence against its worker or against its job.
//
// A worker that fails everything looks idle and attracts work, so that it must be found after a few runs. A job that fails by its own fault fails
// everywhere, and must not put sound workers under suspicion. What a run of the same step does on other workers tells the two apart:
//
//     the step fails on several workers and hardly any of its runs does well    its job is the cause: none of its failures counts any more
//     otherwise                                                                  the worker is suspected
//
// Until a run of the step does well somewhere, its failures suffice to suspect a worker, but not to extend a suspension. A task that has failed twice
// says nothing more about workers: it often meets two faulty ones, and rarely three.
//
// Example:
//     const FailureCause cause = attribution.recordFailedRun(task, worker, evidence);
//     if (cause == FailureCause::Job) { for (const Incarnation &other : attribution.failedWorkers(task.stepKey())) { ... } }
//
// Thread safety: none; owned by the dispatcher, for one term. Cost: O(log n) of the tasks and workers with failed runs.

#ifndef PADDLEPIER_EXECUTION_FAILUREATTRIBUTION_H
#define PADDLEPIER_EXECUTION_FAILUREATTRIBUTION_H

#include "paddlepier/workload/incarnation.h"
#include "paddlepier/workload/taskkey.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace paddlepier::execution
{

/** What a failed run is evidence against. Unclear: neither, for want of further evidence. */
enum class FailureCause { Worker, Unclear, Job };
const char *nameOf(FailureCause cause);

/** What is known of the step of a failed run. */
struct StepEvidence {
    /** Tasks of the step that are done, and runs of it that have outlived the failed one. */
    std::size_t healthyRuns = 0;
    /** Workers that offer the step's service. */
    std::size_t workers = 0;
    /** Failures of the step that count against the worker of the failed run already. */
    std::uint32_t failuresOnWorker = 0;
    /** Another worker that offers the service is usable and not suspended. */
    bool hasAlternative = false;
};

class FailureAttribution
{
public:
    /** A run of the task on @p worker has failed, or was stopped since it stalled. */
    FailureCause recordFailedRun(const workload::TaskKey &task, const workload::Incarnation &worker, const StepEvidence &evidence);
    /** The workers on which runs of the step have failed. */
    const std::set<workload::Incarnation> &failedWorkers(const workload::StepKey &step) const;

    /** Removes the state of jobs for which @p hasJobEnded returns true. */
    template<typename Predicate>
    void removeEndedJobs(Predicate hasJobEnded)
    {
        std::erase_if(this->byStep, [&hasJobEnded](const auto &entry) { return hasJobEnded(entry.first.job); });
    }

private:
    struct Entry {
        std::set<workload::Incarnation> workers;
        std::map<std::uint32_t, std::uint32_t> failuresByTask;
    };

    std::map<workload::StepKey, Entry> byStep;
};

} // namespace paddlepier::execution

#endif
