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
#include "paddlepier/planning/capacityreserver.h"
#include "paddlepier/planning/capacityindex.h"

#include <cstddef>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace paddlepier::planning
{

/** Questions that can be sent now. */
struct QuestionBudget {
    std::size_t longQuestions = std::numeric_limits<std::size_t>::max();
    /** Time of the policy service that short questions may take together. */
    Duration shortQuestions = absl::InfiniteDuration();
};

class AdviceAsking
{
public:
    AdviceAsking(Rooms &planRooms, RoomKeeper &roomKeeper, AdviceBook &book);

    /** Begins a plan. */
    void begin(const QuestionBudget &questionBudget);
    /** The step that so much is known of may be asked about now, and somebody is free to ask. */
    bool mayAsk(const StepAdvice &known, const work::AdvicePolicyT &policy) const;

    /**
     * Keeps room for what is likely to be permitted, and asks if no answer is awaited already.
     *
     * @param coming  room that is kept for the step anyway
     */
    std::optional<execution::AdviceQuestion> ask(Timestamp now, const WantedStep &wanted, const std::vector<ComingRoom> &coming);

private:
    /** A worker that the policy service may be asked about. */
    struct Candidate {
        Room *room;
        bool hasRoom;
        /** Known to be permitted; only the ticket is over. */
        bool isExpired;
        double penalty;
    };

    /** Workers that the policy service may be asked about, with or without room for a task; of many, those that suit best as a rule. */
    std::vector<Candidate> candidatesFor(const WantedStep &wanted, bool withRoom);
    /** Workers whose room comes by the time that the policy service has renewed their tickets. */
    static void addRenewals(std::vector<Candidate> &candidates, const WantedStep &wanted, const std::vector<ComingRoom> &coming);
    /** Keeps room for the step on the best of the candidates. @return workers to ask about; none if it may not ask */
    std::vector<workload::Life> keepRoomFor(const WantedStep &wanted, std::vector<Candidate> candidates, bool mayAsk);
    /** Keeps room for the tasks that are likely to go there. @return how many, in expectation */
    double keepRoom(const WantedStep &wanted, Room &room, double chance);

    Rooms &rooms;
    RoomKeeper &keeper;
    AdviceBook &advice;
    /** What is left of the plan's. */
    QuestionBudget budget;
};

} // namespace paddlepier::planning

#endif
