// A snapshot of a cell's load: the capacity of its usable workers, what is reserved and running there, and what waits.
//
// Example:
//     const CellLoad load = cellLoad(state, views, tracks);
//     log::info("dispatch", "cell.load", {{"capacity", load.milliProcessors}, {"working", load.working}});
//
// Thread safety: a free function without state. Cost: O(workers + runs + waiting jobs).

#ifndef PADDLEPIER_EXECUTION_CELLLOAD_H
#define PADDLEPIER_EXECUTION_CELLLOAD_H

#include "paddlepier/execution/runtrack.h"
#include "paddlepier/execution/workerview.h"
#include "paddlepier/workload/workload.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace paddlepier::execution
{

/** Processor amounts are in thousandths of a processor. */
struct CellLoad {
    std::size_t usableWorkers = 0;
    /** Capacity of the workers that are reachable and not draining. */
    std::uint64_t milliProcessors = 0;
    /** The part of that capacity that placed runs reserve, whether they have started or not. */
    std::uint64_t reserved = 0;
    /** Demand of all runs that workers have confirmed as running. */
    std::uint64_t working = 0;
    std::uint64_t waitingTasks = 0;
    std::uint64_t waitingDemand = 0;
};

CellLoad cellLoad(const workload::Workload &state, const WorkerViews &views, const RunTracks &tracks);

/** Processors of a service's workers that are reachable, not draining and not evacuated, in thousandths. */
struct ServiceCapacity {
    std::uint64_t usable = 0;
    /** The part that placed runs reserve. */
    std::uint64_t reserved = 0;
};

/** By service; O(workers). */
std::map<std::string, ServiceCapacity> usableCapacities(const workload::Workload &state, const WorkerViews &views);

} // namespace paddlepier::execution

#endif
