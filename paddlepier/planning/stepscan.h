// Selects the waiting steps that a plan examines, so that its cost is bounded however much is waiting.
//
// In a full cell a plan can place little. For each service and rank, the steps are therefore examined in order only until their cumulative
// demand exceeds the free capacity by a share of the total. Ranks are limited separately: otherwise late steps of an urgent queue would keep
// less urgent ones that are in time from being examined.
//
// The first steps may all be unable to use the capacity that is free: workers that may run them are full, or they are gangs that fit nowhere.
// Each plan therefore also examines a limited number of the steps beyond the limits, starting where the previous plan ended, so that all of
// them are examined in turn.
//
// While the steps in time alone reach the limit, advice isn't requested for steps of jobs whose objective is unattainable: the tickets would
// expire before there is capacity for them. They are requested once the backlog is smaller, since accepted work has to run.
//
// Example:
//     for (const WaitingStep *waiting : scan.select()) { plan(*waiting); }
//
// Thread safety: none; owned by the planner. Cost: select() is O(selected steps + log of the waiting steps), and O(workers) if more than a
// hundred steps are waiting.

#ifndef PADDLEPIER_PLANNING_STEPSCAN_H
#define PADDLEPIER_PLANNING_STEPSCAN_H

#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/planning/steporder.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace paddlepier::planning
{

class StepScan
{
public:
    StepScan(const StepOrder &stepOrder, CapacityIndex &planIndex);

    /** The steps that this plan examines, in order; must be called once for each plan, before it reserves capacity. */
    std::vector<const WaitingStep *> select();
    /** True if no advice may be requested for a step of @p job with the forecast @p forecast, as of the last select(). */
    bool withholdsAdvice(const workload::Job &job, const ObjectiveForecast &forecast) const;

private:
    /** Amounts of each resource; a plan compares only sums, so that rounding doesn't matter. */
    struct Amounts {
        double milliProcessors = 0;
        double memoryMegabytes = 0;
        double accelerators = 0;

        void add(const Amounts &other);
        bool exceeds(const Amounts &limit) const;
    };

    struct Service {
        /** False if no usable worker offers the service. */
        bool hasCapacity = false;
        Amounts limit;
        /** Demand of the steps selected within the limit: by rank, and of those in time. */
        std::map<std::uint32_t, Amounts> demandByRank;
        Amounts demandInTime;
    };

    static Amounts demandOf(const WaitingStep &waiting);
    void readCapacity();
    /** False if none of the remaining steps of the rank is within the limit of its service. */
    bool hasStepsWithinLimit(std::uint32_t rank) const;
    /** Adds the demand of the step to that of its service and rank, unless that has exceeded the limit. @return whether it was added */
    bool isWithinLimit(const WaitingStep &waiting);

    const StepOrder &order;
    CapacityIndex &capacityIndex;
    /** By the service's number in the order; empty if there are too few waiting steps to need limits. */
    std::vector<Service> services;
    /** Sort keys of the last step beyond the limits that was selected; its job may have been removed. */
    std::optional<WaitingStep> lastBeyondLimit;
};

} // namespace paddlepier::planning

#endif
