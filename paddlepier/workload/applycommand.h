// Applies one command to a workload as a log entry would, for tests and benchmarks.
//
// Example:
//     applyCommand(state, wallMillis, std::move(registration));
//
// Thread safety: that of the workload. Cost: that of Workload::apply().

#ifndef PADDLEPIER_WORKLOAD_APPLYCOMMAND_H
#define PADDLEPIER_WORKLOAD_APPLYCOMMAND_H

#include "paddlepier/workload/workload.h"

#include <cstdint>
#include <utility>

namespace paddlepier::workload
{

/** @param atMillis  timestamp of the log entry, in milliseconds since 1970 */
template<typename Table>
Outcome applyCommand(Workload &state, std::int64_t atMillis, Table table)
{
    work::EntryT entry;
    entry.atMillis = atMillis;
    entry.command.Set(std::move(table));
    return state.apply(entry);
}

} // namespace paddlepier::workload

#endif
