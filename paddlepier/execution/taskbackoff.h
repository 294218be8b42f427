// Backoff for tasks whose starts are refused.
//
// A start that a worker refuses as invalid will probably be refused by other workers too. Without a backoff the task would be placed
// again with every plan, indefinitely.
//
// Example:
//     backoff.recordRefusal(now, task);
//     if (backoff.isBackingOff(now, task)) { ... }
//
// Thread safety: none; owned by the dispatcher, for one term. Cost: O(log n) of the tasks with refusals.

#ifndef PADDLEPIER_EXECUTION_TASKBACKOFF_H
#define PADDLEPIER_EXECUTION_TASKBACKOFF_H

#include "paddlepier/base/clock.h"
#include "paddlepier/workload/taskkey.h"

#include <cstdint>
#include <map>

namespace paddlepier::execution
{

class TaskBackoff
{
public:
    /** A worker has refused a start of the task as invalid. */
    void recordRefusal(Timestamp now, const workload::TaskKey &task);
    /** True if any task may be backing off. Lets plans skip the look-up for each waiting task. */
    bool hasBackoffs(Timestamp now) const;
    /** True if the task must not be started yet. */
    bool isBackingOff(Timestamp now, const workload::TaskKey &task) const;

    /** Removes the state of jobs for which @p hasJobEnded returns true. */
    template<typename Predicate>
    void removeEndedJobs(Predicate hasJobEnded)
    {
        std::erase_if(this->byTask, [&hasJobEnded](const auto &entry) { return hasJobEnded(entry.first.job); });
    }

private:
    struct Entry {
        std::uint32_t refusals = 0;
        Timestamp backoffUntil = absl::InfinitePast();
    };

    std::map<workload::TaskKey, Entry> byTask;
    /** No backoff ends later than this. */
    Timestamp latestBackoffEnd = absl::InfinitePast();
};

} // namespace paddlepier::execution

#endif
