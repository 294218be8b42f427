// The order in which waiting steps are planned.
//
// Sort keys, most significant first: the priority of the queue; whether the job can still meet its objective (in time, late, unattainable);
// whether the job has started; age. If capacity is scarce, this completes some jobs in time instead of making all of them late: few jobs
// are under way at a time, and none is started that would end late.
// A job whose slack is smaller than its remaining work moves up one priority, but never to priority 0 (urgent work): beside a steady
// stream of higher-priority work it would otherwise become late although it could be served in time.
//
// The order is maintained incrementally. Only jobs that changed, and those whose forecast changes with time, are reinserted, the latter at
// the moment of the change: with tens of thousands of tasks waiting, sorting all of them for each plan left no time for placements.
//
// Example:
//     order.update(wallMillis);
//     for (const WaitingStep &waiting : order.steps()) { use(order.pendingStep(waiting, wallMillis)); }
//
// Thread safety: none; owned by the planner. Cost: update() is O(changed jobs x log of the waiting steps), steps() O(1),
// pendingStep() O(tasks of the step).

#ifndef PADDLEPIER_PLANNING_STEPORDER_H
#define PADDLEPIER_PLANNING_STEPORDER_H

#include "paddlepier/execution/timerqueue.h"
#include "paddlepier/planning/objectiveforecast.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/workload.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace paddlepier::planning
{

/** A step with tasks that may be placed now, and its sort keys. */
struct WaitingStep {
    /** Priority of its queue, or that minus one (one level more urgent) if the job has low slack. */
    std::uint32_t rank = 0;
    bool hasStarted = false;
    const workload::Job *job = nullptr;
    /** That of the job, so that comparing doesn't access it. */
    std::int64_t submittedAtMillis = 0;
    /** Index of its queue's service in StepOrder::services(); not a sort key. */
    std::uint32_t service = 0;
    workload::StepKey key;
    /** Evaluated at evaluatedAtMillis. */
    ObjectiveForecast forecast;
    std::int64_t evaluatedAtMillis = 0;
    /** Its data centre has been chosen since the job last changed; not a sort key. */
    mutable bool isDataCentreChosen = false;

    const work::StepSpecT &step() const;
    bool operator<(const WaitingStep &other) const;
};

class StepOrder
{
public:
    StepOrder(const workload::Workload &workloadState, const ObjectiveForecaster &jobForecaster);

    /** Applies the changes since the last call. @param wallMillis  milliseconds since 1970 */
    void update(std::int64_t wallMillis);
    /** Number of insertions of a job into the order so far. */
    std::uint64_t reorderedJobs() const;
    /** Sorted; valid until the next update(). */
    const std::set<WaitingStep> &steps() const;
    /** The services of all steps so far. */
    const std::vector<std::string> &services() const;
    /** Number of steps by rank and service; without zeros. */
    const std::map<std::pair<std::uint32_t, std::uint32_t>, std::size_t> &stepCounts() const;
    /** The step with its waiting tasks and its slack at @p wallMillis. */
    static PendingStep pendingStep(const WaitingStep &waiting, std::int64_t wallMillis);

    /** Calls update() and returns all steps with their tasks. */
    std::vector<PendingStep> collect(std::int64_t wallMillis);

private:
    /** Jobs whose position may have changed. */
    std::set<std::string> drainChangedJobs(std::int64_t wallMillis);
    /** Adds the jobs of queues whose typical run time differs from the assumed one. */
    void addJobsWithChangedRatio(std::set<std::string> &jobs);
    void removeSteps(const std::string &id);
    void reorderJob(const std::string &id, std::int64_t wallMillis);
    /** @return when the position of one of its steps next changes by the passing of time alone */
    std::int64_t reorderOccurrence(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis);

    const workload::Workload &state;
    const ObjectiveForecaster &forecaster;
    std::set<WaitingStep> order;
    // Invariant: contains each entry of `order` exactly once, under the ID of its job.
    absl::flat_hash_map<std::string, std::vector<std::set<WaitingStep>::const_iterator>> byJob;
    std::vector<std::string> serviceNames;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::size_t> counts;
    /** Jobs by the time at which they must be reinserted. */
    execution::TimerQueue<std::string> reorderTimers;
    workload::ChangeLog<std::string>::Position readUntil = 0;
    /** By queue: ratio of typical run time to estimate that the order is based on. */
    std::map<std::string, double> assumedRatios;
    std::uint64_t reorderCount = 0;
};

} // namespace paddlepier::planning

#endif
