// One life of a worker in the ledger: how it announced itself, what runs there, and the room that this takes.
//
// Example:
//     if (worker.hasRoomFor(step)) { worker.addRun(key, step); }
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

/** Room that a task takes; what fills uses processors that others leave. */
work::Demand demandOf(const work::StepSpecT &step);

/** Both tell the same of a worker's address, service, machine, labels and room, and of whether it drains; nothing else is compared. */
bool isSameRegistration(const work::RegisterWorkerT &left, const work::RegisterWorkerT &right);

/** A run that was superseded by a copy of its task elsewhere, while it isn't known whether it is still under way. */
struct SupersededRun {
    std::uint32_t run = 0;
    /** Room that it may still take. */
    work::Demand demand;
    /** Team whose quota it takes; empty if none. */
    std::string team = {};
    work::Demand quotaDemand = {};
};

/** One life of a worker. */
struct Worker {
    work::RegisterWorkerT registration;
    /** Newest end that is recorded; the worker may forget ends up to it. */
    std::uint64_t lastSequence = 0;
    /** Runs that may be under way there. */
    std::set<TaskKey> runs;
    /** Invariant: no task is in both `runs` and `superseded`. */
    std::map<TaskKey, SupersededRun> superseded;
    /** Tasks whose run here was given up with its lease, while it isn't known whether the worker is lost or cut off. */
    std::set<TaskKey> expiredLeases;
    std::uint64_t reservedMilliProcessors = 0;
    std::uint64_t reservedMemoryMegabytes = 0;
    std::uint64_t reservedAccelerators = 0;
    /** Of `runs`: those that owe their users a latency, and those that may disturb them. */
    std::uint32_t servingRuns = 0;
    std::uint32_t fillingRuns = 0;
    /** Of `runs`: those whose end costs more than their own work: of lasting steps, and of gangs. */
    std::uint32_t costlyRuns = 0;

    bool hasCapacityFor(const work::StepSpecT &step) const;
    /** It has promised more room than it has: the room has shrunk since. Starts that wait would make that worse. */
    bool isOvercommitted() const;
    std::int64_t freeMilliProcessors() const;
    bool hasLabel(std::string_view label) const;

    /** A run is there from now on, and takes its room. */
    void addRun(const TaskKey &key, const work::StepSpecT &step);
    /** It is over; its room comes back. @return false if there was none */
    bool removeRun(const TaskKey &key, const work::StepSpecT &step);
    void addSuperseded(const TaskKey &key, const SupersededRun &run);
    void removeSuperseded(const TaskKey &key);

private:
    void adjustReservation(const work::Demand &demand, int sign);
    void adjustRunCounts(const work::StepSpecT &step, int sign);
};

} // namespace paddlepier::workload

#endif
