// Runs that may make way for other work, and which of them do.
//
// Urgent work (priority 0) may take the place of any run that saves its progress: those near the step's other tasks go first,
// then what can't be served in time any more, and then the youngest; where room is short some jobs end in time instead of
// all ending late. Urgent work that is late already stops nothing. Work of other queues makes less urgent runs give way only
// for wide tasks, which would find no room otherwise, and only where room is chosen and kept for them (capacityreserver.h).
//
// Example:
//     way.begin(now, wallMillis);
//     way.makeRoom(wanted, coming);
//     plan.preempted = way.takePreempted();
//
// Thread safety: none; owned by the planner. Cost: O(tasks of jobs that may make way), once a plan.

#ifndef PADDLEPIER_PLANNING_PREEMPTION_H
#define PADDLEPIER_PLANNING_PREEMPTION_H

#include "paddlepier/execution/runtrack.h"
#include "paddlepier/planning/objectiveforecast.h"
#include "paddlepier/planning/capacityreserver.h"
#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/workload/workload.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <vector>

namespace paddlepier::planning
{

struct YieldingRun {
    workload::TaskKey key;
    Room *room = nullptr;
    std::uint32_t priority = 0;
    std::uint32_t milliProcessors = 0;
    Outlook outlook = Outlook::InTime;
    std::int64_t submittedAtMillis = 0;
    bool isChosen = false;
};

class YieldingRuns
{
public:
    /** @param outlookOfOccurrence  gives the outlook of an occurrence of a job */
    template<typename OutlookOf>
    void collect(const workload::Workload &state, const execution::RunTracks &tracks, Rooms &rooms, OutlookOf outlookOfOccurrence)
    {
        this->runs.clear();
        for (const std::string &id : state.activeJobs()) {
            const workload::Job &job = *state.findJob(id);
            if (job.queue().priority == 0 || job.runsUnderWay() == 0) {
                continue;
            }
            for (std::uint32_t occurrence = 0; occurrence < job.occurrences().size(); ++occurrence) {
                const std::size_t before = this->runs.size();
                this->addOccurrence(job, occurrence, tracks, rooms);
                if (this->runs.size() > before) {
                    const Outlook outlook = outlookOfOccurrence(job, occurrence);
                    std::for_each(
                        this->runs.begin() + static_cast<std::ptrdiff_t>(before), this->runs.end(), [outlook](YieldingRun &run) { run.outlook = outlook; });
                }
            }
        }
        this->sort();
    }

    /** Gives all that may make way to @p visit, those in the data centre @p home first, until that returns false. */
    template<typename Visit>
    void visitInOrder(std::uint32_t home, Visit visit)
    {
        for (const bool atHome : {true, false}) {
            for (YieldingRun &run : this->runs) {
                const bool isAtHome = home == noHome || run.room->dataCentre == home;
                if (!run.isChosen && isAtHome == atHome && !visit(run)) {
                    return;
                }
            }
        }
    }

private:
    void addOccurrence(const workload::Job &job, std::uint32_t occurrence, const execution::RunTracks &tracks, Rooms &rooms);
    void sort();

    std::vector<YieldingRun> runs;
};

/** A run that is to stop, and the waiting step that its room is for. */
struct Preemption {
    workload::TaskKey run;
    workload::StepKey servedStep;
};

/** Decides which runs stop, once for each plan. */
class MakingWay
{
public:
    MakingWay(const workload::Workload &workloadState,
              const execution::RunTracks &runTracks,
              const Prospects &jobProspects,
              Rooms &planRooms,
              const AdviceBook &book);

    /** Begins a plan. */
    void begin(Timestamp at, std::int64_t wall);
    /** This plan may make runs give way anywhere for a step of that priority and prospect. */
    bool mayServe(std::uint32_t priority, const Prospect &prospect) const;
    /** Stops runs for the waiting tasks of @p wanted: those that @p coming names, or for urgent work any. */
    void makeRoom(const WantedStep &wanted, const std::vector<ComingRoom> &coming);
    /** Runs that make way by this plan. */
    std::vector<Preemption> takePreempted();

private:
    /** Stops runs where room for a wide step is then there while its tickets are good. */
    void makeComing(const WantedStep &wanted, const std::vector<ComingRoom> &coming);
    bool mayStopFor(const WantedStep &wanted, const ComingRoom &coming) const;
    void makeAnywhere(const WantedStep &wanted);
    void stopRuns(const WantedStep &wanted, std::size_t missing);
    static bool mayMakeRoom(const Room &room, const WantedStep &wanted, std::uint32_t service);
    /** Takes room that is free or on its way for up to @p missing tasks; @return for how many there is some */
    std::size_t claimComingRoom(Room &room, const WantedStep &wanted, std::size_t missing);

    const workload::Workload &state;
    const execution::RunTracks &tracks;
    const Prospects &prospects;
    Rooms &rooms;
    const AdviceBook &advice;
    Timestamp now;
    std::int64_t wallMillis = 0;
    YieldingRuns yielding;
    bool isYieldingCollected = false;
    /** This plan may make runs give way. */
    bool isOpen = true;
    /** Steps of this plan for which no run to stop was found. */
    std::size_t fruitlessSteps = 0;
    Timestamp nextPreemption = absl::InfinitePast();
    std::vector<Preemption> preempted;
};

} // namespace paddlepier::planning

#endif
