// Decides which waiting tasks go to which workers, what to ask the policy service, and what makes way for urgent work.
//
// A plan is made from the ledger and from what the leader knows of the workers; nothing is changed by making it. Steps are
// taken in the order of their queue's priority, and then of what their jobs can still reach and of their age. Room that a
// step is going to need, once the policy service has answered, is kept from the steps after it in the same plan. Which of
// the workers with room is taken is decided in suitability.h. Steps of which nothing can come now are passed over unless
// room has to be kept for them.
//
// Example:
//     const Plan plan = planner.plan(now, wallMillis);
//
// Thread safety: none; owned by the control thread. Cost: O(waiting steps x workers + placed tasks x workers that
// may run them); O(waiting steps) if none of them can be placed, asked about or make others give way.

#ifndef PADDLEPIER_PLANNING_PLANNER_H
#define PADDLEPIER_PLANNING_PLANNER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/orders.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/advicebook.h"
#include "paddlepier/planning/makingway.h"
#include "paddlepier/planning/outlook.h"
#include "paddlepier/planning/roomkeeping.h"
#include "paddlepier/planning/rooms.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::planning
{

struct Plan {
    std::vector<work::PlacementT> placements;
    std::vector<execution::AdviceQuestion> questions;
    /** Runs that make way; their tasks go on later from their checkpoints. */
    std::vector<workload::TaskKey> preempted;
};

class Planner
{
public:
    Planner(const workload::Workload &workloadState,
            const std::map<std::string, execution::WorkerView> &workerViews,
            const execution::RunTracks &runTracks,
            AdviceBook &book,
            const std::map<std::string, double> &usualRatiosByQueue);

    Plan plan(Timestamp now, std::int64_t wallMillis);

private:
    /** A worker that a step may use now. */
    struct Choice {
        Room *room;
        /** Infinite while nothing more fits. */
        double penalty;
    };

    /** A worker that the policy service may be asked about. */
    struct Candidate {
        Room *room;
        bool hasRoom;
        /** Known to be permitted; only the ticket is over. */
        bool isExpired;
        double penalty;
    };

    Prospect prospectOfOccurrence(const workload::Job &job, std::uint32_t occurrence) const;
    /** Place of a step's queue in the order; a job that is about to miss its objective goes one priority up, but never to 0. */
    static std::uint32_t rankOf(const WantedStep &wanted);
    std::vector<WantedStep> collectSteps() const;
    void collectOccurrence(std::vector<WantedStep> &wanted, const workload::Job &job, std::uint32_t occurrence) const;
    /** Something may come of planning it now: it may have a ticket, ask, or make others give way. */
    bool mayAct(const WantedStep &wanted) const;
    void planStep(WantedStep &wanted, Plan &plan);
    void planGang(WantedStep &wanted, Plan &plan);
    /** Places the tasks on workers of @p rack, or of any if it is empty, where there is room for all. */
    bool placeGang(WantedStep &wanted, std::string_view rack, Plan &plan);
    void placeSingly(WantedStep &wanted, Plan &plan);
    void collectChoices(const WantedStep &wanted);
    void judge(Choice &choice, const WantedStep &wanted) const;
    /** Takes room for one task, or gives it back. */
    void take(Choice &choice, const WantedStep &wanted, std::int32_t tasks);
    Choice *bestChoice(const WantedStep &wanted, std::uint32_t index, std::string_view rack);
    /** No more than a few of the step's tasks fit into any worker of its service. */
    bool isWide(const WantedStep &wanted);
    /** Keeps the room that comes soonest for the tasks of a wide step; nothing for a gang that can't have room as a whole. */
    std::vector<ComingRoom> keepComingRoom(const WantedStep &wanted);
    ComingRoom soonestRoom(const WantedStep &wanted, std::uint32_t index);
    /** Makes runs give way where room for a wide step is then there while its tickets are good. */
    void makeComingRoom(const WantedStep &wanted, const std::vector<ComingRoom> &coming, Plan &plan);
    bool mayStopFor(const WantedStep &wanted, const ComingRoom &coming) const;
    void askAdvice(WantedStep &wanted, const std::vector<ComingRoom> &coming, Plan &plan);
    /** Workers whose room comes by the time that the policy service has renewed their tickets. */
    void addRenewals(std::vector<Candidate> &candidates, const WantedStep &wanted, const std::vector<ComingRoom> &coming) const;
    /** Workers that the policy service may be asked about, with or without room for a task. */
    std::vector<Candidate> adviceCandidates(const WantedStep &wanted, bool withRoom);
    /** Keeps room for the step on the best of the candidates. @return workers to ask about; none if it may not ask */
    std::vector<std::string> keepRoomFor(const WantedStep &wanted, std::vector<Candidate> candidates, bool mayAsk);
    /** Keeps room for the tasks that are likely to go there. @return how many, in expectation */
    double keepRoom(const WantedStep &wanted, Room &room, double chance);
    void preemptFor(const WantedStep &wanted, Plan &plan);
    void preemptRuns(const WantedStep &wanted, std::size_t missing, Plan &plan);
    static bool mayMakeRoom(const Room &room, const WantedStep &wanted, std::uint32_t service);
    /** Takes room that is free or on its way for up to @p missing tasks; @return for how many there is some */
    static std::size_t claimComingRoom(Room &room, const WantedStep &wanted, std::size_t missing);
    static bool mayRun(const Room &room, const WantedStep &wanted, std::uint32_t service);
    static bool isAcceptable(const Room &room);
    static bool isTrusted(const Room &room, const workload::Task &task);
    static bool isBelowBound(const Room &room, const WantedStep &wanted);
    static work::PlacementT placement(const WantedStep &wanted, std::uint32_t task, const std::string &worker);

    const workload::Workload &state;
    const std::map<std::string, execution::WorkerView> &views;
    const execution::RunTracks &tracks;
    AdviceBook &advice;
    const std::map<std::string, double> &usualRatios;
    Timestamp now;
    std::int64_t wallMillis = 0;
    Rooms rooms;
    RoomKeeper keeper;
    /** Wide steps of this plan for which room was kept. */
    std::size_t keptSteps = 0;
    std::vector<Choice> choices;
    YieldingRuns yielding;
    bool isYieldingCollected = false;
    /** This plan may make runs give way. */
    bool mayPreempt = true;
    Timestamp nextPreemption = absl::InfinitePast();
};

} // namespace paddlepier::planning

#endif
