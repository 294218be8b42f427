// Where a task that needs much of a worker will fit first, and which runs have to end there before.
//
// Small tasks take whatever gets free, so that a worker is hardly ever free as a whole and a task that needs most of one
// waits for ever behind tasks that matter less and came later. For such wide tasks the planner therefore looks ahead: at
// each worker that may run the task, when enough of its runs will have ended, by themselves or because they make way.
//
// A run makes way only for a queue that goes before its own, and only if little is lost: it saves its progress, is no
// member of a gang and hasn't been started many times already. Unless the work that needs its room is urgent (priority 0),
// its job must still meet its objective easily after that: at some 110 % load tasks that may be late would otherwise make
// others late in their place (small jobs in time: 43 % instead of 97 %, replay of 60 s at 140 % of a steady 80 %).
//
// Example:
//     keeper.begin(now, wallMillis);
//     for (const ComingRoom &coming : keeper.keepFor(wanted)) { ... coming.stops ... }
//
// Thread safety: none; owned by the planner. Cost: keepFor() is O((permitted workers + tasks) x runs on each x log of it +
// tasks x permitted workers), and once a plan O(runs x log of all runs) for each worker that is looked at.

#ifndef PADDLEPIER_PLANNING_CAPACITYRESERVER_H
#define PADDLEPIER_PLANNING_CAPACITYRESERVER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/planning/objectiveforecast.h"
#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace paddlepier::planning
{

/** A run as those see it who wait for its room. */
struct HeldRun {
    workload::TaskKey key;
    const work::StepSpecT *step = nullptr;
    std::uint32_t priority = 0;
    Outlook outlook = Outlook::InTime;
    std::int64_t submittedAtMillis = 0;
    /** Until it ends by itself, as far as its estimate and its progress tell. */
    Duration remaining;
    /** It may be stopped for the sake of others. */
    bool mayYield = false;
    /** After a stop its job would have little time left to its objective: only urgent work may do that. */
    bool isPressedByStop = false;
    /** A stop is on its way, or this plan orders one. */
    bool isStopping = false;
};

/** How a worker comes to have room for one more task. */
struct ComingRoom {
    /** Null if the worker never has. */
    Room *room = nullptr;
    Duration wait = absl::InfiniteDuration();
    /** Runs that have to make way for it; valid until the next plan begins. */
    std::vector<HeldRun *> stops;
};

/** Time from the order to stop a run until its room is free, in an ordinary case: the order, the save, the listed end. */
constexpr Duration usualStopTime = absl::Milliseconds(350);

/** Room is made, and tickets renewed, only if it is whole this soon: sooner than a ticket ends, and before much of it has lain idle. */
constexpr Duration soonEnough = absl::Milliseconds(800);

/** At most this many tasks of a wide step fit into a worker that runs nothing else. */
constexpr std::size_t wideTasksPerWorker = 2;

/** True if a worker like @p room could run a few tasks of @p step at the most, or none. */
bool isWideFor(const Room &room, const work::StepSpecT &step);

class RoomKeeper
{
public:
    RoomKeeper(const workload::Workload &workloadState, const execution::RunTracks &runTracks, const Prospects &jobProspects, Rooms &planRooms);

    /** Begins a plan: what was known of the runs is dropped. */
    void begin(Timestamp at, std::int64_t wall);
    /** No more than a few of the step's tasks fit into any worker of @p service; O(1) as a rule, else O(workers) once a plan. */
    bool isWide(std::string_view service, const work::StepSpecT &step);
    /** Keeps the room that comes soonest for the tasks of a wide step; none for a gang that can't have room as a whole. */
    std::vector<ComingRoom> keepFor(const WantedStep &wanted);
    /** How often it was judged when a worker comes to have room for a step. */
    std::uint64_t judgements() const;

private:
    /** A run of the room in the order in which it gives its room back. */
    struct Release {
        HeldRun *run;
        Duration after;
        bool isStop;
    };

    /** A worker that a wide step may wait for, and what that costs; infinite if it never has room. */
    struct Option {
        Room *room;
        ComingRoom coming;
        double cost;
    };

    Option optionFor(Room &room, const WantedStep &wanted);
    std::vector<Option> optionsFor(const WantedStep &wanted);
    /** The cheapest for the task; null if there is none. */
    static Option *soonest(std::vector<Option> &options, const WantedStep &wanted, std::uint32_t index);
    /** When @p room fits one more task of @p wanted, and what makes way for it. */
    ComingRoom comingRoom(Room &room, const WantedStep &wanted);
    std::vector<HeldRun> &runsOn(const Room &room);
    HeldRun heldRun(const workload::TaskKey &key, const workload::Job &job) const;
    Duration remainingOf(const execution::RunTrack &track, const work::StepSpecT &step, const std::string &queue) const;
    static bool yieldsTo(const HeldRun &run, const WantedStep &wanted);
    std::vector<Release> releasesFor(std::vector<HeldRun> &runs, const WantedStep &wanted) const;

    const workload::Workload &state;
    const execution::RunTracks &tracks;
    const Prospects &prospects;
    Rooms &rooms;
    Timestamp now;
    std::int64_t wallMillis = 0;
    std::map<const workload::Worker *, std::vector<HeldRun>> held;
    /** A worker into which more than a few tasks of the step that was judged last fit; most steps are judged by it alone. */
    std::uint32_t largeRoom = 0;
    /** Sizes of tasks, by service, that weren't judged by that one, and whether they are wide; of this plan. */
    std::map<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t>, bool> judgedSizes;
    std::uint64_t judgedOptions = 0;
    /** Wide steps of this plan for which room was kept. */
    std::size_t keptSteps = 0;
};

} // namespace paddlepier::planning

#endif
