// Reserves capacity for wide tasks where it becomes free first, and determines which runs have to stop for it.
//
// Small tasks use any capacity as soon as it is released, so that a worker is rarely idle, and a task that needs most of one would starve
// behind less important, later tasks. For such wide tasks the planner forecasts for each eligible worker when enough of its runs
// will have ended, by themselves or by preemption.
//
// A run is preempted only for a step of a more urgent queue, and only if little work is lost: it saves checkpoints, isn't a member of a gang
// and hasn't been started many times already. Unless the pending step is urgent (priority 0), the job of the run must also keep enough
// slack to meet its objective after the stop: at some 110 % load, tasks that may be late would otherwise make others late
// (small jobs in time: 43 % instead of 97 %, replay of 60 s at 140 % of a steady 80 %).
//
// Example:
//     reserver.begin(now, wallMillis);
//     for (const FutureCapacity &future : reserver.reserveFor(pending)) { ... future.runsToStop ... }
//
// Thread safety: none; owned by the planner. Cost: reserveFor() is O((permitted workers + tasks) x runs on each x log of it +
// tasks x permitted workers), and once a plan O(runs x log of all runs) for each worker that is evaluated.

#ifndef PADDLEPIER_PLANNING_CAPACITYRESERVER_H
#define PADDLEPIER_PLANNING_CAPACITYRESERVER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/planning/objectiveforecast.h"
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

/** A run that occupies capacity for which a wide step waits. */
struct OccupyingRun {
    workload::TaskKey key;
    const work::StepSpecT *step = nullptr;
    std::uint32_t priority = 0;
    ObjectiveStatus objectiveStatus = ObjectiveStatus::InTime;
    std::int64_t submittedAtMillis = 0;
    /** Time until it ends by itself, computed from its estimate, its progress, and the speed of its worker or of its gang's slowest member. */
    Duration remaining;
    /** It may be preempted. */
    bool isPreemptible = false;
    /** After a stop its job would have low slack; only urgent work may stop it then. */
    bool hasLowSlackAfterStop = false;
    /** It is being stopped already, or this plan stops it. */
    bool isStopping = false;
};

/** When and how a worker gets free capacity for one more task. */
struct FutureCapacity {
    /** Null if the worker never gets it. */
    WorkerCapacity *worker = nullptr;
    Duration wait = absl::InfiniteDuration();
    /** Runs that have to be preempted for it; valid until the next plan begins. */
    std::vector<OccupyingRun *> runsToStop;
};

/** Typical time from the order to stop a run until its capacity is free: delivery of the order, checkpoint, report of the end. */
constexpr Duration typicalStopTime = absl::Milliseconds(350);

/**
 * Runs are preempted and tickets renewed only for capacity that is complete within this time: before a ticket expires, and before the part
 * that is already reserved has been idle for long.
 */
constexpr Duration maxReservationWait = absl::Milliseconds(800);

/** A step is wide if at most this many of its tasks fit into a worker that runs nothing else. */
constexpr std::size_t maxWideTasksPerWorker = 2;

/** True if a worker of the size of @p worker could run at most maxWideTasksPerWorker tasks of @p step. */
bool isWideFor(const WorkerCapacity &worker, const work::StepSpecT &step);

class CapacityReserver
{
public:
    CapacityReserver(const workload::Workload &workloadState,
                     const execution::RunTracks &runTracks,
                     const ObjectiveForecaster &jobForecaster,
                     CapacityIndex &planIndex);

    /** Begins a plan and discards what was cached about runs. */
    void begin(Timestamp at, std::int64_t wall);
    /** True if isWideFor() holds for each usable worker of @p service; usually O(1), else O(workers) once a plan for each size. */
    bool isWide(std::string_view service, const work::StepSpecT &step);
    /** Reserves the capacity that becomes free first for the tasks of a wide step; none for a gang unless all its members get it. */
    std::vector<FutureCapacity> reserveFor(const PendingStep &pending);
    /** Number of forecasts made so far. */
    std::uint64_t forecastCount() const;

private:
    /** The release of one run's capacity, by its end or its preemption. */
    struct Release {
        OccupyingRun *run;
        Duration after;
        bool isPreemption;
    };

    /** A worker for which a wide step may wait, and the cost of doing so; infinite if it never gets the capacity. */
    struct Option {
        WorkerCapacity *worker;
        FutureCapacity futureCapacity;
        double cost;
    };

    Option optionFor(WorkerCapacity &worker, const PendingStep &pending);
    std::vector<Option> optionsFor(const PendingStep &pending);
    /** The cheapest option for the task; null if none is eligible. */
    static Option *soonest(std::vector<Option> &options, const PendingStep &pending, std::uint32_t index);
    /** Forecasts when @p worker has capacity for one more task of @p pending, and which runs have to be preempted for it. */
    FutureCapacity forecastCapacity(WorkerCapacity &worker, const PendingStep &pending);
    std::vector<OccupyingRun> &runsOn(const WorkerCapacity &worker);
    OccupyingRun occupyingRun(const workload::TaskKey &key, const workload::Job &job);
    /** Remaining time of a run's own work on its worker. */
    Duration remainingOf(const execution::RunTrack &track, const work::StepSpecT &step, const std::string &queue) const;
    /** The same for a gang, whose members end together: that of its slowest member. O(members) once a plan. */
    Duration remainingOfGang(const workload::StepKey &gang, const work::StepSpecT &step, const std::string &queue);
    static bool isPreemptibleFor(const OccupyingRun &run, const PendingStep &pending);
    std::vector<Release> releasesFor(std::vector<OccupyingRun> &runs, const PendingStep &pending) const;

    const workload::Workload &state;
    const execution::RunTracks &tracks;
    const ObjectiveForecaster &forecaster;
    CapacityIndex &capacityIndex;
    Timestamp now;
    std::int64_t wallMillis = 0;
    std::map<const workload::Worker *, std::vector<OccupyingRun>> runsByWorker;
    std::map<workload::StepKey, Duration> remainingByGang;
    /** A worker on which the last evaluated step wasn't wide; checked first, since it decides for most steps. */
    std::uint32_t lastLargeWorker = 0;
    /** For task sizes by service that lastLargeWorker didn't decide in this plan: whether they are wide. */
    std::map<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t>, bool> wideBySize;
    std::uint64_t forecasts = 0;
    /** Wide steps for which this plan has reserved capacity. */
    std::size_t reservedSteps = 0;
};

} // namespace paddlepier::planning

#endif
