// One incarnation of a worker in the ledger: its registration, its runs, and the capacity that they reserve.
//
// Example:
//     if (worker.hasCapacityFor(step)) { worker.addRun(key, step); }
//
// Thread safety: none; owned by the ledger. Cost: O(log runs) each.

#ifndef PADDLEPIER_WORKLOAD_WORKER_H
#define PADDLEPIER_WORKLOAD_WORKER_H

#include "paddlepier/wire/workload_generated.h"
#include "paddlepier/workload/taskkey.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace paddlepier::workload
{

/** Capacity that one task of @p step reserves on a worker. Filling tasks reserve no processors, since they only use idle ones. */
work::Demand demandOf(const work::StepSpecT &step);

/** Compares address, service, machine, labels, capacity and draining state; the other fields are ignored. */
bool isSameRegistration(const work::RegisterWorkerT &left, const work::RegisterWorkerT &right);

/** A run on an unresponsive worker that was superseded by a copy of its task elsewhere; it may still be active until its end is confirmed. */
struct SupersededRun {
    std::uint32_t run = 0;
    /** Capacity that stays reserved for it. */
    work::Demand demand;
    /** Team whose quota it counts towards; empty if none. */
    std::string team = {};
    work::Demand quotaDemand = {};
};

/** State of one incarnation of a worker. */
struct Worker {
    work::RegisterWorkerT registration;
    /** Sequence number of the newest recorded end; the worker may discard ends up to it. */
    std::uint64_t lastSequence = 0;
    /** Tasks whose current run may be active on this worker. */
    std::set<TaskKey> runs;
    /** Invariant: no task is in both `runs` and `superseded`. */
    std::map<TaskKey, SupersededRun> superseded;
    /** Tasks whose run here ended with an expired lease, while the worker may be lost or merely partitioned; with what such a loss counts as. */
    std::map<TaskKey, work::RunAtLoss> expiredLeases;
    std::uint64_t reservedMilliProcessors = 0;
    std::uint64_t reservedMemoryMegabytes = 0;
    std::uint64_t reservedAccelerators = 0;
    /** Of `runs`: those with a latency target, and the filling ones, which may interfere with them. */
    std::uint32_t servingRuns = 0;
    std::uint32_t fillingRuns = 0;
    /** Of `runs`: those of lasting steps and of gangs, whose loss affects more than their own work. */
    std::uint32_t costlyRuns = 0;

    bool hasCapacityFor(const work::StepSpecT &step) const;
    /** Whether reservations exceed the capacity, because the worker has announced a smaller one since. Pending starts would add to the excess. */
    bool isOvercommitted() const;
    std::int64_t freeMilliProcessors() const;
    bool hasLabel(std::string_view label) const;

    /** Adds a run and reserves its capacity. */
    void addRun(const TaskKey &key, const work::StepSpecT &step);
    /** Removes a run and releases its capacity. @return false if there is no such run */
    bool removeRun(const TaskKey &key, const work::StepSpecT &step);
    void addSuperseded(const TaskKey &key, const SupersededRun &run);
    void removeSuperseded(const TaskKey &key);

private:
    void adjustReservation(const work::Demand &demand, int sign);
    void adjustRunCounts(const work::StepSpecT &step, int sign);
};

} // namespace paddlepier::workload

#endif
