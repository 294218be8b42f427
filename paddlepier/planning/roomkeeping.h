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
//     const ComingRoom coming = keeper.comingRoom(room, wanted);
//     if (coming.room != nullptr) { rooms.take(*coming.room, *wanted.step); }
//
// Thread safety: none; owned by the planner. Cost: comingRoom() is O(runs on the worker x log of it), the first for a worker
// in a plan O(runs on it x log of all runs).

#ifndef PADDLEPIER_PLANNING_ROOMKEEPING_H
#define PADDLEPIER_PLANNING_ROOMKEEPING_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>
#include <map>
#include <string>
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

/** At most this many tasks of a wide step fit into a worker that runs nothing else. */
constexpr std::size_t wideTasksPerWorker = 2;

/** True if a worker like @p room could run a few tasks of @p step at the most, or none. */
bool isWideFor(const Room &room, const work::StepSpecT &step);

class RoomKeeper
{
public:
    RoomKeeper(const workload::Workload &workloadState, const execution::RunTracks &runTracks, const std::map<std::string, double> &usualRatiosByQueue);

    /** Begins a plan: what was known of the runs is dropped. */
    void begin(Timestamp at, std::int64_t wall);
    /** When @p room fits one more task of @p wanted, and what makes way for it. */
    ComingRoom comingRoom(Room &room, const WantedStep &wanted);

private:
    /** A run of the room in the order in which it gives its room back. */
    struct Release {
        HeldRun *run;
        Duration after;
        bool isStop;
    };

    std::vector<HeldRun> &runsOn(const Room &room);
    HeldRun heldRun(const workload::TaskKey &key, const workload::Job &job) const;
    Duration remainingOf(const execution::RunTrack &track, const work::StepSpecT &step, const std::string &queue) const;
    double usualRatio(const std::string &queue) const;
    static bool yieldsTo(const HeldRun &run, const WantedStep &wanted);
    std::vector<Release> releasesFor(std::vector<HeldRun> &runs, const WantedStep &wanted) const;

    const workload::Workload &state;
    const execution::RunTracks &tracks;
    const std::map<std::string, double> &usualRatios;
    Timestamp now;
    std::int64_t wallMillis = 0;
    std::map<const workload::Worker *, std::vector<HeldRun>> held;
};

} // namespace paddlepier::planning

#endif
