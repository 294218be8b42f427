// Placement policies, one for each kind of job.
//
// A policy chooses the worker for one task from the index. Policies are chosen at compile time: the scheduler accepts any
// type that satisfies PlacementPolicy.
//
// Thread safety: values without shared state.

#ifndef PADDLEPIER_SCHEDULING_POLICIES_H
#define PADDLEPIER_SCHEDULING_POLICIES_H

#include "paddlepier/ledger/job.h"
#include "paddlepier/ledger/ledger.h"
#include "paddlepier/scheduling/placementindex.h"

#include <absl/container/flat_hash_map.h>

#include <concepts>
#include <string>

namespace paddlepier::scheduling
{

template<typename Policy>
concept PlacementPolicy = requires(Policy policy, const PlacementIndex &index, const Resources &need, const Candidate &chosen)
{
    {
        policy.choose(index, need)
        } -> std::same_as<const Candidate *>;
    policy.recordChoice(chosen);
};

/** Batch jobs and gangs: the worker that fits best, which leaves workers with much free capacity to large tasks. */
class PackingPolicy
{
public:
    const Candidate *choose(const PlacementIndex &index, const Resources &need) const
    {
        return index.bestFit(need);
    }

    void recordChoice(const Candidate &) const
    {
    }
};

/** Services: the rack, then the worker, with the fewest tasks of the same job; among equals, the worker with the most free processors. */
class SpreadingPolicy
{
public:
    SpreadingPolicy(const ledger::Ledger &ledger, const ledger::Job &job)
    {
        for (const wire::TaskRecordT &task : job.tasks()) {
            const ledger::Worker *worker = ledger::isActive(task.state) ? ledger.findWorker(task.worker) : nullptr;
            if (worker != nullptr) {
                ++this->tasksInRack[worker->registration().rack];
                ++this->tasksOnWorker[task.worker];
            }
        }
    }

    const Candidate *choose(const PlacementIndex &index, const Resources &need) const
    {
        const Candidate *best = nullptr;
        std::size_t visited = 0;
        index.visitMostFree(need, [&](const Candidate &candidate) {
            if (best == nullptr || this->weightOf(candidate) < this->weightOf(*best)) {
                best = &candidate;
            }
            return ++visited < maxVisited;
        });
        return best;
    }

    void recordChoice(const Candidate &candidate)
    {
        ++this->tasksInRack[candidate.rack];
        ++this->tasksOnWorker[candidate.worker];
    }

private:
    /** Covers several racks of 8 workers and bounds the cost with thousands of workers. */
    static constexpr std::size_t maxVisited = 64;

    std::pair<std::size_t, std::size_t> weightOf(const Candidate &candidate) const
    {
        const auto count = [](const auto &map, const std::string &name) {
            const auto found = map.find(name);
            return found == map.end() ? std::size_t{0} : found->second;
        };
        return {count(this->tasksInRack, candidate.rack), count(this->tasksOnWorker, candidate.worker)};
    }

    absl::flat_hash_map<std::string, std::size_t> tasksInRack;
    absl::flat_hash_map<std::string, std::size_t> tasksOnWorker;
};

} // namespace paddlepier::scheduling

#endif
