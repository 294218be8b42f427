// Decides which waiting tasks go to which workers, what to ask the policy service, and what makes way for urgent work.
//
// A plan is made from the ledger and from what the leader knows of the workers; nothing is changed by making it. Steps are
// taken in the order of their queue's priority, and then of what their jobs can still reach and of their age. Room that a
// step is going to need, once the policy service has answered, is kept from the steps after it in the same plan. Which of
// the workers with room is taken is decided in suitability.h.
//
// Example:
//     const Plan plan = planner.plan(now, wallMillis);
//
// Thread safety: none; owned by the control thread. Cost: O(waiting steps x workers + placed tasks x workers).

#ifndef PADDLEPIER_PLANNING_PLANNER_H
#define PADDLEPIER_PLANNING_PLANNER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/orders.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/advicebook.h"
#include "paddlepier/planning/outlook.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>
#include <map>
#include <string>
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
    struct Candidate {
        Room *room;
        bool hasRoom;
        /** Known to be permitted; only the ticket is over. */
        bool isExpired;
        double penalty;
    };

    /**
     * A run that may make way. Those near the step's other tasks go first, then what can't be served in time any more, and
     * then the youngest: where room is short some jobs end in time instead of all ending late.
     */
    struct Victim {
        workload::TaskKey key;
        Room *room;
        bool isHome;
        Outlook outlook;
        std::int64_t submittedAtMillis;
    };

    Outlook outlookOfOccurrence(const workload::Job &job, std::uint32_t occurrence) const;
    void collectRooms();
    /** Few enough workers owe an answer to do without them. */
    bool areFewOverdue() const;
    void countRun(Room &room, const workload::TaskKey &key) const;
    std::vector<WantedStep> collectSteps() const;
    void collectStep(std::vector<WantedStep> &wanted, const workload::Job &job, std::uint32_t occurrence, std::uint32_t step) const;
    /** Superseded runs may still be on their workers, and count towards the step's bound there. */
    void countSuperseded(WantedStep &wanted) const;
    void planStep(WantedStep &wanted, Plan &plan);
    void planGang(WantedStep &wanted, Plan &plan);
    void placeSingly(WantedStep &wanted, Plan &plan);
    void askAdvice(WantedStep &wanted, Plan &plan);
    /** Workers that the policy service may be asked about, the most useful first. */
    std::vector<Candidate> adviceCandidates(const WantedStep &wanted);
    /** Keeps room for the tasks that are likely to go there. @return how many, in expectation */
    static double keepRoom(const WantedStep &wanted, Room &room, double chance);
    void preemptFor(const WantedStep &wanted, Plan &plan);
    bool mayMakeRoom(const Room &room, const WantedStep &wanted) const;
    /** Takes room that is free or on its way for up to @p missing tasks; @return for how many there is some */
    static std::size_t claimComingRoom(Room &room, const WantedStep &wanted, std::size_t missing);
    void collectVictims(Room &room, const WantedStep &wanted, const Plan &plan, std::vector<Victim> &victims) const;
    bool makesWay(const workload::TaskKey &key, const WantedStep &wanted, const Plan &plan) const;
    bool mayRun(const Room &room, const WantedStep &wanted) const;
    bool isAcceptable(const Room &room) const;
    bool isTrusted(const Room &room, const workload::Task &task) const;
    bool isPermitted(const Room &room, const WantedStep &wanted) const;
    bool isBelowBound(const Room &room, const WantedStep &wanted) const;
    Room *bestRoom(const WantedStep &wanted, std::uint32_t index, const std::string &rack);
    static work::PlacementT placement(const WantedStep &wanted, std::uint32_t task, const std::string &worker);

    const workload::Workload &state;
    const std::map<std::string, execution::WorkerView> &views;
    const execution::RunTracks &tracks;
    AdviceBook &advice;
    const std::map<std::string, double> &usualRatios;
    Timestamp now;
    std::int64_t wallMillis = 0;
    std::vector<Room> rooms;
};

} // namespace paddlepier::planning

#endif
