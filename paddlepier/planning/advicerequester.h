// Requests advice about steps from the policy service, and reserves capacity until the answer arrives.
//
// The service is slow, processes one call at a time from each caller, and its tickets expire soon. A request for a step is therefore made
// when some worker has free capacity for it, or will have by the time of the answer. It names enough workers that
// sufficiently many of them are likely to be permitted, and capacity is reserved on them against later steps. For a wide step the request
// is made before any capacity is free, since capacity must be freed on a worker that may run it.
//
// A plan makes no more requests than can be sent immediately, so that they are sent in the order of the steps; otherwise requests without a
// free caller would be built again in each plan, for each of thousands of steps. No capacity is reserved for a step whose request can't be
// sent: other steps have tickets for it.
//
// Example:
//     if (auto request = requester.request(now, pending, futureCapacities)) { plan.adviceRequests.push_back(*request); }
//
// Thread safety: none; owned by the planner. Cost: request() is O(workers + named workers x log workers).

#ifndef PADDLEPIER_PLANNING_ADVICEREQUESTER_H
#define PADDLEPIER_PLANNING_ADVICEREQUESTER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/orders.h"
#include "paddlepier/planning/advicecache.h"
#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/planning/capacityreserver.h"

#include <cstddef>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace paddlepier::planning
{

/** Limits on the requests that can be sent now. */
struct AdviceBudget {
    std::size_t longRequests = std::numeric_limits<std::size_t>::max();
    /** Total processing time that short requests may take in the policy service. */
    Duration shortRequestTime = absl::InfiniteDuration();
};

class AdviceRequester
{
public:
    AdviceRequester(CapacityIndex &planIndex, CapacityReserver &capacityReserver, AdviceCache &cache);

    /** Begins a plan. */
    void begin(const AdviceBudget &adviceBudget);
    /** True if a request for a step with the advice @p stepAdvice is allowed now and the budget has a free caller for it. */
    bool mayRequest(const StepAdvice &stepAdvice, const work::AdvicePolicyT &policy) const;

    /**
     * Reserves capacity for the tasks that are likely to be permitted, and makes a request unless one is pending.
     *
     * @param futureCapacities  capacity that is already reserved for the step
     */
    std::optional<execution::AdviceRequest> request(Timestamp now, const PendingStep &pending, const std::vector<FutureCapacity> &futureCapacities);

    /** Makes a request that names just @p workers, whose tickets are to be renewed; nothing without a free caller. */
    std::optional<execution::AdviceRequest> renew(Timestamp now, const PendingStep &pending, std::vector<workload::Incarnation> workers);
    /** Makes a request that names workers without advice for the step, and reserves nothing; nothing without a free caller. */
    std::optional<execution::AdviceRequest> requestFurther(Timestamp now, const PendingStep &pending);

private:
    /** A worker that a request may name. */
    struct Candidate {
        WorkerCapacity *worker;
        bool hasCapacity;
        /** Known to be permitted, but its ticket has expired. */
        bool isExpired;
        double penalty;
    };

    /**
     * Workers that a request may name, with or without free capacity for a task. The number is limited; visiting the step's data centres first
     * usually finds the workers that suit best.
     */
    std::vector<Candidate> candidatesFor(const PendingStep &pending, bool withCapacity);
    /** Adds workers whose capacity becomes free by the time that the policy service has renewed their tickets. */
    static void addRenewals(std::vector<Candidate> &candidates, const PendingStep &pending, const std::vector<FutureCapacity> &futureCapacities);
    /** Reserves capacity for the step on the best of the candidates. @return workers that the request names; none unless @p mayRequest */
    std::vector<workload::Incarnation> reserveAndSelect(const PendingStep &pending, std::vector<Candidate> candidates, bool mayRequest);
    /** Makes the request and takes it off the budget. */
    execution::AdviceRequest make(Timestamp now, const PendingStep &pending, std::vector<workload::Incarnation> workers);
    /** Reserves capacity for the expected number of tasks on the worker, which is permitted with probability @p chance. @return that number */
    double reserveExpected(const PendingStep &pending, WorkerCapacity &worker, double chance);

    CapacityIndex &capacityIndex;
    CapacityReserver &reserver;
    AdviceCache &adviceCache;
    /** Remaining budget of the plan. */
    AdviceBudget budget;
};

} // namespace paddlepier::planning

#endif
