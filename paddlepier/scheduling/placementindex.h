// Index of free resources over workers.
//
// Workers are ordered by free processors, apart by whether they have free accelerators, so that the tightest worker for
// a task is found without looking at those that are too full. Workers without accelerators are tried first for tasks
// that need none.
//
// Example:
//     index.set("worker-7", {.free = ..., .rack = "r1"});
//     const Candidate *tightest = index.tightest(need);
//
// Thread safety: none. set() and remove() are O(log n); tightest() is O(log n + k) for k workers that have the processors
// but not the memory; visitRoomiest() is O(visited).

#ifndef PADDLEPIER_SCHEDULING_PLACEMENTINDEX_H
#define PADDLEPIER_SCHEDULING_PLACEMENTINDEX_H

#include "paddlepier/ledger/resources.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <tuple>

namespace paddlepier::scheduling
{

using ledger::Resources;

/** A worker that may get tasks. */
struct Candidate {
    std::string worker;
    std::string rack;
    Resources free;
};

class PlacementIndex
{
public:
    /** Adds a worker or changes what it has free. */
    void set(const std::string &worker, const std::string &rack, const Resources &free);
    void remove(const std::string &worker);
    void clear();

    /** Changes what a worker has free by a tentative placement. */
    void reserve(const std::string &worker, const Resources &need);
    void release(const std::string &worker, const Resources &need);

    /** The worker on which @p need leaves the fewest processors, then the least memory; null if it fits nowhere. */
    const Candidate *bestFit(const Resources &need) const;

    /** Calls @p visit for workers on which @p need fits, most free processors first, until it returns false. */
    template<typename Visitor>
    void visitMostFree(const Resources &need, Visitor visit) const;

    const Candidate *find(const std::string &worker) const;
    std::size_t size() const;

private:
    // Free processors, memory, accelerators, then the name, so that the order is total and the same everywhere.
    using Key = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t, const Candidate *>;
    struct KeyOrder {
        bool operator()(const Key &left, const Key &right) const;
    };
    using Order = std::set<Key, KeyOrder>;

    static Key keyOf(const Candidate &candidate);
    static const Candidate *bestFitIn(const Order &order, const Resources &need);
    Order &orderOf(const Candidate &candidate);
    void change(const std::string &worker, const Resources &free);

    absl::flat_hash_map<std::string, std::unique_ptr<Candidate>> byName;
    // Invariant: every candidate stands in exactly one of the two.
    Order plain;
    Order accelerated;
};

template<typename Visitor>
void PlacementIndex::visitMostFree(const Resources &need, Visitor visit) const
{
    for (const Order *order : {&this->plain, &this->accelerated}) {
        for (auto entry = order->rbegin(); entry != order->rend(); ++entry) {
            const Candidate &candidate = *std::get<3>(*entry);
            if (candidate.free.milliProcessors() < need.milliProcessors()) {
                break;
            }
            if (ledger::fits(need, candidate.free) && !visit(candidate)) {
                return;
            }
        }
    }
}

} // namespace paddlepier::scheduling

#endif
