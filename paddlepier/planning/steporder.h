// The order in which waiting steps are planned.
//
// First by the priority of their queue; then what can still meet its objective before what is late, and that before what
// can't be of use any more; then jobs that have begun before those that haven't; then by age. When room is short some jobs
// are then served in time instead of all being late: few are under way at a time, and none is begun that would end late.
// A job with less time to spare than work left goes one priority up, but never to urgent work (priority 0): beside a
// steady stream of work that goes first, it would otherwise be late without need.
//
// The order is kept from plan to plan. Jobs that have changed are placed anew, and so are those whose prospects change with the
// passing of time, at the moment at which they do: with tens of thousands of tasks waiting, sorting them all for each plan left
// no time to place any.
//
// Example:
//     order.update(wallMillis);
//     for (const WaitingStep &waiting : order.steps()) { use(order.wantedStep(waiting, wallMillis)); }
//
// Thread safety: none; owned by the planner. Cost: update() is O(changed jobs x log of the waiting steps), steps() O(1),
// wantedStep() O(tasks of the step).

#ifndef PADDLEPIER_PLANNING_STEPORDER_H
#define PADDLEPIER_PLANNING_STEPORDER_H

#include "paddlepier/execution/timerqueue.h"
#include "paddlepier/planning/objectiveforecast.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/workload.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace paddlepier::planning
{

/** A step with tasks that may be placed now, and what its place in the order depends on. */
struct WaitingStep {
    /** Priority of its queue, or one higher. */
    std::uint32_t rank = 0;
    bool hasBegun = false;
    const workload::Job *job = nullptr;
    workload::StepKey key;
    /** As it stood at judgedAtMillis. */
    Prospect prospect;
    std::int64_t judgedAtMillis = 0;
    /** No part of its place: its data centre has been chosen since the job last changed. */
    mutable bool isHomeChosen = false;

    const work::StepSpecT &step() const;
    bool operator<(const WaitingStep &other) const;
};

class StepOrder
{
public:
    StepOrder(const workload::Workload &workloadState, const Prospects &jobProspects);

    /** Takes in what has changed since the last call. @param wallMillis  milliseconds since 1970 */
    void update(std::int64_t wallMillis);
    /** How often a job was placed in the order. */
    std::uint64_t placedJobs() const;
    /** In order; valid until the next update. */
    const std::set<WaitingStep> &steps() const;
    /** The step with its waiting tasks. */
    static WantedStep wantedStep(const WaitingStep &waiting, std::int64_t wallMillis);

    /** update(), and all steps with their tasks. */
    std::vector<WantedStep> collect(std::int64_t wallMillis);

private:
    /** Jobs whose place may be another one now. */
    std::set<std::string> takeChangedJobs(std::int64_t wallMillis);
    /** Adds the jobs of queues that take another time than was assumed. */
    void addRejudgedQueues(std::set<std::string> &jobs);
    void placeJob(const std::string &id, std::int64_t wallMillis);
    /** @return when the place of one of its steps changes next with the time alone */
    std::int64_t placeOccurrence(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis);

    const workload::Workload &state;
    const Prospects &prospects;
    std::set<WaitingStep> order;
    // Invariant: names each entry of `order` once, by its job.
    absl::flat_hash_map<std::string, std::vector<std::set<WaitingStep>::const_iterator>> byJob;
    /** Jobs by the time at which they have to be placed anew. */
    execution::DueQueue<std::string> dueJobs;
    workload::ChangeLog<std::string>::Position readUntil = 0;
    /** By queue: what its runs usually take, as the order assumes. */
    std::map<std::string, double> assumedRatios;
    std::uint64_t placeCount = 0;
};

} // namespace paddlepier::planning

#endif
