// How much of a cell's room is promised and at work, and what waits for it, at one moment.
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

namespace paddlepier::execution
{

/** Processors are counted in thousandths. */
struct CellLoad {
    std::size_t usableWorkers = 0;
    /** Room of the workers that answer and aren't draining. */
    std::uint64_t milliProcessors = 0;
    /** Of that, what placed runs take, whether they have begun or not. */
    std::uint64_t reserved = 0;
    /** Of all runs, those that workers have confirmed. */
    std::uint64_t working = 0;
    std::uint64_t waitingTasks = 0;
    std::uint64_t waitingDemand = 0;
};

CellLoad cellLoad(const workload::Workload &state, const WorkerViews &views, const RunTracks &tracks);

} // namespace paddlepier::execution

#endif
