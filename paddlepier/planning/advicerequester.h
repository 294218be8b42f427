// What to ask the policy service about a step, and which room to keep until it answers.
//
// The service is slow and takes one call at a time from each caller, and its tickets end soon. A step is therefore asked
// about when some worker has room for it, or will have by the time of the answer; as many workers are named as make it
// likely that enough of them are permitted, and room is kept there from the steps that come after. Who may run a wide step
// is asked before there is room at all, since room has to be made for it at a worker that may.
//
// Questions are limited to those that can be sent at once, so that they go out in the order of the steps: one that nobody is free to
// ask would be put together again and again, for each of thousands of steps. No room is kept for a step that can't be asked about:
// others have tickets for it.
//
// Example:
//     if (auto question = asking.ask(now, wanted, coming)) { plan.questions.push_back(*question); }
//
// Thread safety: none; owned by the planner. Cost: ask() is O(workers + workers named x log workers).

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

/** Questions that can be sent now. */
struct AdviceBudget {
    std::size_t longRequests = std::numeric_limits<std::size_t>::max();
    /** Time of the policy service that short questions may take together. */
    Duration shortRequestTime = absl::InfiniteDuration();
};

class AdviceRequester
{
public:
    AdviceRequester(CapacityIndex &planRooms, CapacityReserver &roomKeeper, AdviceCache &book);

    /** Begins a plan. */
    void begin(const AdviceBudget &questionBudget);
    /** The step that so much is known of may be asked about now, and somebody is free to ask. */
    bool mayRequest(const StepAdvice &known, const work::AdvicePolicyT &policy) const;

    /**
     * Keeps room for what is likely to be permitted, and asks if no answer is awaited already.
     *
     * @param coming  room that is kept for the step anyway
     */
    std::optional<execution::AdviceRequest> request(Timestamp now, const PendingStep &wanted, const std::vector<FutureCapacity> &coming);

private:
    /** A worker that the policy service may be asked about. */
    struct Candidate {
        WorkerCapacity *worker;
        bool hasCapacity;
        /** Known to be permitted; only the ticket is over. */
        bool isExpired;
        double penalty;
    };

    /** Workers that the policy service may be asked about, with or without room for a task; of many, those that suit best as a rule. */
    std::vector<Candidate> candidatesFor(const PendingStep &wanted, bool withRoom);
    /** Workers whose room comes by the time that the policy service has renewed their tickets. */
    static void addRenewals(std::vector<Candidate> &candidates, const PendingStep &wanted, const std::vector<FutureCapacity> &coming);
    /** Keeps room for the step on the best of the candidates. @return workers to ask about; none if it may not ask */
    std::vector<workload::Incarnation> reserveAndSelect(const PendingStep &wanted, std::vector<Candidate> candidates, bool mayAsk);
    /** Keeps room for the tasks that are likely to go there. @return how many, in expectation */
    double reserveExpected(const PendingStep &wanted, WorkerCapacity &room, double chance);

    CapacityIndex &capacityIndex;
    CapacityReserver &reserver;
    AdviceCache &adviceCache;
    /** What is left of the plan's. */
    AdviceBudget budget;
};

} // namespace paddlepier::planning

#endif
