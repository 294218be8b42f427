// Index of the free capacity of workers.
//
// Workers are ordered by free processors, in separate orders for workers with and without free accelerators, so that the
// best-fitting worker for a task is found without visiting workers with too few free processors. A task that needs no
// accelerators is tried on workers without free accelerators first.
//
// Example:
//     index.set("worker-7", "r1", free);
//     const Candidate *candidate = index.bestFit(need);
//
// Thread safety: none. set() and remove() are O(log n); bestFit() is O(log n + k) for k workers that have enough
// processors but too little memory; visitMostFree() is O(visited).

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

/** A worker that may receive tasks. */
struct Candidate {
    std::string worker;
    std::string rack;
    Resources free;
};

class PlacementIndex
{
public:
    /** Adds a worker or replaces its rack and free capacity. */
    void set(const std::string &worker, const std::string &rack, const Resources &free);
    void remove(const std::string &worker);
    void clear();

    /** Subtracts a tentative placement from the free capacity of a worker. */
    void reserve(const std::string &worker, const Resources &need);
    /** Undoes a tentative placement. */
    void release(const std::string &worker, const Resources &need);

    /** The worker on which @p need leaves the fewest processors, then the least memory; null if it fits on no worker. */
    const Candidate *bestFit(const Resources &need) const;

    /** Calls @p visit for the workers on which @p need fits, most free processors first, until it returns false. */
    template<typename Visitor>
    void visitMostFree(const Resources &need, Visitor visit) const;

    const Candidate *find(const std::string &worker) const;
    std::size_t size() const;

private:
    // Free processors, memory, accelerators, then the worker's name, so that the order is total and the same in every process.
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
    // Invariant: every candidate is in exactly one of the two orders: `accelerated` if it has free accelerators, else `plain`.
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
