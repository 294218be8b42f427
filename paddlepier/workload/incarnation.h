// One life of a worker: what runs there, what it has counted and what it knows end with it.
//
// A worker that starts again may do so under the id that it had. It then holds and knows nothing of before, and counts its
// announcements and ends from 1 again, by a clock of its own. The id alone therefore names no life: what was learnt of one, or
// promised to it, says nothing about the next.
//
// A worker states when it was born. One that never does has a life for each id; it counts as the earliest life of that id.
//
// Example:
//     const Life life = lifeOf(registration);
//     if (life.isAfter(known)) { ... }
//
// Thread safety: plain values. Cost: comparing costs as much as comparing the ids.

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

struct Life {
    std::string id;
    /** Milliseconds since 1970; 0 if the worker has never said. */
    std::uint64_t born = 0;

    /** Lives of one id follow each other in the order of their births. */
    auto operator<=>(const Life &) const = default; // NOLINT(modernize-use-nullptr): a false report of this version

    bool isAfter(const Life &other) const
    {
        return this->id == other.id && this->born > other.born;
    }

    /** For lines and messages. */
    std::string text() const
    {
        return this->born == 0 ? this->id : absl::StrCat(this->id, "@", this->born);
    }
};

/** For hash tables. */
struct LifeHash {
    std::size_t operator()(const Life &life) const
    {
        return absl::HashOf(life.id, life.born);
    }
};

inline Life lifeOf(const work::RegisterWorkerT &registration)
{
    return {registration.id, registration.born};
}

inline Life lifeOf(const work::PlacementT &placement)
{
    return {placement.worker, placement.born};
}

} // namespace paddlepier::workload

#endif
