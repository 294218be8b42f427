// Tasks whose starts come to nothing without anybody being to blame for certain.
//
// A start that its worker refuses as invalid will hardly be valid elsewhere: without a pause it would be placed again with every
// plan, for ever. A run that stands still or fails is most often its worker's fault; a task to which that has happened on several is
// more likely to be at fault itself, and further workers aren't blamed for it: a lasting one would put all of them under suspicion.
//
// Example:
//     setbacks.noteRefusal(now, task);
//     if (setbacks.isPaused(now, task)) { ... }
//
// Thread safety: none; owned by the dispatcher, for one term. Cost: O(log n) of the tasks with setbacks.

#ifndef PADDLEPIER_EXECUTION_TASKBACKOFF_H
#define PADDLEPIER_EXECUTION_TASKBACKOFF_H

#include "paddlepier/base/clock.h"
#include "paddlepier/workload/taskkey.h"

#include <cstdint>
#include <map>

namespace paddlepier::execution
{

class Setbacks
{
public:
    /** A worker has refused a start of the task as invalid. */
    void noteRefusal(Timestamp now, const workload::TaskKey &task);
    /** A run of the task has failed, or was stopped since it stood still. @return whether its worker may be to blame */
    bool noteBadRun(const workload::TaskKey &task);
    /** Some task may pause: spares plans the look-up of each waiting task. */
    bool hasPauses(Timestamp now) const;
    /** The task isn't to be started yet. */
    bool isPaused(Timestamp now, const workload::TaskKey &task) const;

    /** Drops what is known of jobs that @p isOver says to have ended. */
    template<typename Predicate>
    void forgetJobs(Predicate isOver)
    {
        std::erase_if(this->byTask, [&isOver](const auto &entry) { return isOver(entry.first.job); });
    }

private:
    struct Setback {
        std::uint32_t refusals = 0;
        std::uint32_t badRuns = 0;
        Timestamp pausedUntil = absl::InfinitePast();
    };

    std::map<workload::TaskKey, Setback> byTask;
    /** No task pauses for longer. */
    Timestamp lastPauseEnd = absl::InfinitePast();
};

} // namespace paddlepier::execution

#endif
