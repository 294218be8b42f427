// Incarnation of a worker: identifies one start of the worker process among all starts under the same id.
//
// A worker that restarts may reuse its id. The new process has none of the earlier runs or state, numbers its announcements and ends from 1
// again, and may read a different clock. Facts learnt about one incarnation, and leases granted to it, therefore don't apply to the next
// one, and the id alone doesn't identify an incarnation.
//
// A worker reports its start time, `born`. One that never reports it has a single incarnation per id, which orders before all others.
//
// Example:
//     const Incarnation incarnation = incarnationOf(registration);
//     if (incarnation.isAfter(known)) { ... }
//
// Thread safety: plain values. Cost: a comparison costs one comparison of the ids.

#ifndef PADDLEPIER_WORKLOAD_INCARNATION_H
#define PADDLEPIER_WORKLOAD_INCARNATION_H

#include "paddlepier/wire/workload_generated.h"

#include <absl/hash/hash.h>
#include <absl/strings/str_cat.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace paddlepier::workload
{

struct Incarnation {
    std::string id;
    /** Start time of the worker process in milliseconds since 1970; 0 if the worker has never reported it. */
    std::uint64_t born = 0;

    /** Incarnations of one id are ordered by start time. */
    auto operator<=>(const Incarnation &) const = default; // NOLINT(modernize-use-nullptr): a false report of this version

    bool isAfter(const Incarnation &other) const
    {
        return this->id == other.id && this->born > other.born;
    }

    /** For log lines and messages. */
    std::string text() const
    {
        return this->born == 0 ? this->id : absl::StrCat(this->id, "@", this->born);
    }
};

/** For hash tables. */
struct IncarnationHash {
    std::size_t operator()(const Incarnation &incarnation) const
    {
        return absl::HashOf(incarnation.id, incarnation.born);
    }
};

inline Incarnation incarnationOf(const work::RegisterWorkerT &registration)
{
    return {registration.id, registration.born};
}

inline Incarnation incarnationOf(const work::PlacementT &placement)
{
    return {placement.worker, placement.born};
}

} // namespace paddlepier::workload

#endif
