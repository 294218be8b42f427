// Decides which waiting tasks go to which workers, what to ask the policy service, and what makes way for urgent work.
//
// A plan is made from the ledger and from what the leader knows of the workers; nothing is changed by making it. Steps are
// taken in the order of their queue's priority, and then of what their jobs can still reach and of their age. Room that a step is going to need, once the
// policy service has answered, is kept from the steps after it in the same plan.
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
    /** One worker as this plan sees it. */
    struct Room {
        const workload::Worker *worker = nullptr;
        const execution::WorkerView *view = nullptr;
        std::string rack;
        /** It failed too much, but its time out is over. */
        bool isOnProbation = false;
        std::int64_t processors = 0;
        std::int64_t memory = 0;
        std::int64_t accelerators = 0;
        /** Room that stopping runs are about to give back. */
        std::int64_t comingProcessors = 0;
        std::int64_t comingMemory = 0;
        /** Runs that owe their users a latency, and runs that may disturb them. */
        std::uint32_t serving = 0;
        std::uint32_t filling = 0;
    };

    struct Candidate {
        Room *room;
        bool hasRoom;
        /** Known to be permitted; only the ticket is over. */
        bool isExpired;
        double score;
    };

    /** One step with tasks to place. */
    struct Wanted {
        const workload::Job *job = nullptr;
        workload::StepKey key;
        const work::StepSpecT *step = nullptr;
        Outlook outlook = Outlook::InTime;
        std::vector<std::uint32_t> tasks;
        /** Tasks of this step on each worker. */
        std::map<std::string, std::uint32_t> onWorker;
    };

    void collectRooms();
    /** Few enough workers owe an answer to do without them. */
    bool areFewOverdue() const;
    void countRun(Room &room, const workload::TaskKey &key) const;
    std::vector<Wanted> collectSteps() const;
    void collectStep(std::vector<Wanted> &wanted, const workload::Job &job, std::uint32_t occurrence, std::uint32_t step) const;
    void planStep(Wanted &wanted, Plan &plan);
    void planGang(Wanted &wanted, Plan &plan);
    void placeSingly(Wanted &wanted, Plan &plan);
    void askAdvice(Wanted &wanted, Plan &plan);
    /** Workers that the policy service may be asked about, the most useful first. */
    std::vector<Candidate> adviceCandidates(const Wanted &wanted);
    /** Keeps room for the tasks that are likely to go there. @return how many, in expectation */
    double keepRoom(const Wanted &wanted, Room &room, double chance);
    void preemptFor(const Wanted &wanted, Plan &plan);
    bool mayRun(const Room &room, const Wanted &wanted) const;
    bool isAcceptable(const Room &room) const;
    bool isTrusted(const Room &room, const workload::Task &task) const;
    bool fits(const Room &room, const work::StepSpecT &step) const;
    bool isPermitted(const Room &room, const Wanted &wanted) const;
    bool isBelowBound(const Room &room, const Wanted &wanted) const;
    double scoreOf(const Room &room, const Wanted &wanted) const;
    Room *bestRoom(const Wanted &wanted, const workload::Task &task, const std::string &rack);
    void take(Room &room, const work::StepSpecT &step, int sign) const;
    static work::PlacementT placement(const Wanted &wanted, std::uint32_t task, const std::string &worker);

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
