// Index of the free capacity of each worker, as a plan uses it up.
//
// Workers, data centres and services are numbered here, so that a plan compares no strings when it visits every worker for every step.
// Entries persist from plan to plan: refresh() reads again the workers whose ledger record or view changed, those that the previous plan
// modified, and those whose state changes with time. A few of the others are read round-robin in each plan, so that a change for which
// markViewChanged() wasn't called is detected as well.
//
// Example:
//     capacityIndex.markViewChanged(worker);
//     capacityIndex.refresh(now);
//     capacityIndex.beginStep(now, pending);
//     capacityIndex.reserve(worker, *pending.step);
//
// Thread safety: none; owned by the planner. Cost: refresh() is O(changed workers x log workers), and O(workers log workers) after
// a change of the configuration or a new data centre; beginStep() O(running tasks of the step + workers with advice for it);
// hasCapacityFor() usually O(1), O(workers) for a size that wasn't queried before in this plan; the rest O(1) or O(data centres).

#ifndef PADDLEPIER_PLANNING_CAPACITYINDEX_H
#define PADDLEPIER_PLANNING_CAPACITYINDEX_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/execution/timerqueue.h"
#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/advicecache.h"
#include "paddlepier/planning/eligibility.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/workload.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::planning
{

class CapacityIndex
{
public:
    CapacityIndex(const workload::Workload &workloadState,
                  const execution::WorkerViews &workerViews,
                  const execution::RunTracks &runTracks,
                  AdviceCache &cache);

    /** Must be called when the view of a worker has changed or is new. */
    void markViewChanged(const workload::Incarnation &worker);
    /** Begins a plan; reservations and marks of the previous plan are discarded. */
    void refresh(Timestamp now);
    /** Adds up the capacity that stopping runs are about to release; has no effect after the first call in a plan. */
    void countReleasing();

    /** Sets the task count and the advice status of each worker for the step. */
    void beginStep(Timestamp now, const PendingStep &pending);

    /** All entries, including vacant ones and workers that can't be used. */
    std::vector<WorkerCapacity> &all();
    /** Why a start of the task must not be sent to the worker now, by the conditions under which the task would be placed there. O(log workers). */
    StartBar startBar(Timestamp now, const workload::TaskKey &task, const workload::Incarnation &worker) const;
    /** Number of workers that can be used. */
    std::size_t usableCount() const;
    /** Number of times that an entry was read from the ledger and the worker's view. */
    std::uint64_t reads() const;
    /** Marks an entry that the plan modifies, so that the next plan reads it again. */
    void markModified(WorkerCapacity &entry);
    /**
     * True if some worker has free capacity for a task of the step; limits per worker and labels are ignored. A negative result is cached for the
     * rest of the plan, in which free capacity doesn't grow.
     */
    bool hasCapacityFor(std::string_view service, const work::StepSpecT &step);
    /**
     * Passes usable workers to @p visit until it returns false: first those in the step's preferred data centre, then those in its fallback
     * data centre, then the rest. Workers of one data centre are visited in the order of all().
     */
    template<typename Visit>
    void visitByPreference(const PendingStep &pending, Visit visit)
    {
        const auto visitCentre = [&](std::uint32_t dataCentre) {
            for (const std::uint32_t number : this->byDataCentre[dataCentre]) {
                if (this->entries[number].isUsable && !visit(this->entries[number])) {
                    return false;
                }
            }
            return true;
        };
        const std::uint32_t preferred = pending.preferredDataCentre;
        // A worker that is visited twice would be a candidate twice and receive tasks beyond its capacity.
        const std::uint32_t fallback = pending.fallbackDataCentre == preferred ? noDataCentre : pending.fallbackDataCentre;
        for (const std::uint32_t chosen : {preferred, fallback}) {
            if (chosen != noDataCentre && !visitCentre(chosen)) {
                return;
            }
        }
        for (std::uint32_t dataCentre = 0; dataCentre < this->byDataCentre.size(); ++dataCentre) {
            if (dataCentre != preferred && dataCentre != fallback && !visitCentre(dataCentre)) {
                return;
            }
        }
    }
    /** Numbers of the usable workers for which the policy service has given advice on the step, in the order of all(). */
    const std::vector<std::uint32_t> &advisedWorkers() const;
    /** Null if the worker is unknown or can't be used. */
    WorkerCapacity *find(const workload::Incarnation &worker);
    /** Finds a worker by its number in the advice cache; null if it can't be used. */
    WorkerCapacity *findByAdviceNumber(std::uint32_t adviceNumber);
    void reserve(WorkerCapacity &entry, const work::StepSpecT &step, std::int64_t tasks = 1);
    /** Adds @p tasks to the worker's task count of the step that is being planned; a negative number subtracts. */
    void countTask(WorkerCapacity &entry, std::int32_t tasks);
    /** Data centre with the most running tasks of the step that is being planned; noDataCentre if none runs on a usable worker. */
    std::uint32_t dataCentreOfStep() const;
    /** dataCentreNamed() returns noDataCentre if the name is unknown, dataCentreOfRack() if no worker of the rack can be used. */
    std::uint32_t dataCentreNamed(std::string_view name) const;
    std::uint32_t dataCentreOfRack(std::string_view rack) const;
    std::string_view dataCentreName(std::uint32_t dataCentre) const;
    /** True if at least half of its workers can be used, otherwise it may be cut off by a network partition. */
    bool isHealthy(std::uint32_t dataCentre) const;
    /** Number of tasks of the step that fit into each data centre, regardless of advice; O(workers). */
    std::vector<std::int64_t> slotsFor(const PendingStep &pending) const;
    /** Number of a service; if no worker offers it, a number that no worker has. */
    std::uint32_t serviceNumber(std::string_view service) const;

private:
    /** A task size for which no worker of the service has free capacity. */
    struct Shortage {
        std::uint32_t service = 0;
        bool isFilling = false;
        work::Demand demand;

        /** True if a task of the other size can't fit anywhere either. */
        bool covers(std::uint32_t serviceNumber, bool fills, const work::Demand &other) const;
    };

    void rebuild(Timestamp now);
    /** Reads what has changed since the last plan. @return false if rebuild() is required */
    bool readChanges(Timestamp now);
    void readRoundRobin(Timestamp now);
    /** Reads a worker that may have been added or removed. @return false if its data centre is new or changed, which requires rebuild() */
    bool read(Timestamp now, const workload::Incarnation &incarnation);
    /** Reads an entry whose worker exists. */
    void read(Timestamp now, std::uint32_t number);
    void add(const workload::Incarnation &incarnation, const workload::Worker &worker, std::uint32_t dataCentre);
    void remove(const workload::Incarnation &incarnation);
    bool isUsable(Timestamp now, const WorkerCapacity &entry) const;
    /** Number of runs that test a suspect worker; 0 for any other. */
    std::int32_t countTestRuns(Timestamp now, const WorkerCapacity &entry) const;
    void setUsable(WorkerCapacity &entry, bool isUsable);
    /** Overdue answers make workers unusable, unless at least half of all workers are overdue. */
    void updateOverduePolicy(Timestamp now);
    /** Number of the service, which is added if it is new. */
    std::uint32_t addService(const std::string &name);
    /** Clears task counts and advice statuses of the step that was planned last. */
    void clearStep();
    void countTasks(const PendingStep &pending);

    const workload::Workload &state;
    const execution::WorkerViews &views;
    const execution::RunTracks &tracks;
    AdviceCache &adviceCache;
    // Invariant: holds each worker of the ledger once; the entry of a removed worker is vacant until another worker reuses its number.
    std::vector<WorkerCapacity> entries;
    std::vector<std::uint32_t> vacantEntries;
    absl::flat_hash_map<workload::Incarnation, std::uint32_t, workload::IncarnationHash> byWorker;
    /** Numbers of the entries of each data centre, in ascending order. */
    std::vector<std::vector<std::uint32_t>> byDataCentre;
    std::vector<std::uint32_t> byAdviceNumber;
    std::vector<std::string> services;
    std::vector<bool> spareServices;
    /** Sorted by name, so that ties don't depend on the order in which workers joined. */
    std::vector<std::string> dataCentres;
    /** Number of usable workers in each data centre. */
    std::vector<std::uint32_t> usableWorkers;
    std::size_t overdueWorkers = 0;
    bool excludesOverdue = true;
    workload::ChangeLog<workload::Incarnation>::Position readUntil = 0;
    /** A set, so that it doesn't grow beyond the number of workers while no plan is made. */
    absl::flat_hash_set<workload::Incarnation, workload::IncarnationHash> changedViews;
    /** Entries by the time at which their state changes by the passing of time alone. */
    execution::TimerQueue<std::uint32_t> refreshTimers;
    /** Entries that a plan has modified. */
    std::vector<std::uint32_t> modified;
    std::size_t lastRoundRobin = 0;
    std::uint64_t readCount = 0;
    /** Entries of workers with superseded runs. */
    std::set<std::uint32_t> withSuperseded;
    std::vector<Shortage> shortages;
    /** The entry into which a task fitted last; it is checked first, since the next task often fits there as well. */
    std::uint32_t lastFitting = 0;
    /** Entries with isCountedForStep set. */
    std::vector<std::uint32_t> countedForStep;
    std::vector<std::uint32_t> advisedForStep;
    bool isReleasingCounted = false;
};

} // namespace paddlepier::planning

#endif
