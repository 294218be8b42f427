// Logs one line for each step that is done, instead of one for each of its runs.
//
// A large cell ends more runs a second than the bounded log accepts lines. To find the cause of a late job one needs to know which
// task of a step ended last, where it ran, and how long the others took. Runs that end in any way other than done are still logged
// one by one.
//
// Example:
//     reports.recordDone(key, {worker, startTime, runTime});
//     reports.logEnded(state);
//
// Thread safety: none; owned by the dispatcher. Cost: recordDone() is O(log steps), logEnded() O(steps with recorded ends).

#ifndef PADDLEPIER_EXECUTION_STEPREPORT_H
#define PADDLEPIER_EXECUTION_STEPREPORT_H

#include "paddlepier/base/clock.h"
#include "paddlepier/workload/incarnation.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>
#include <map>
#include <string>

namespace paddlepier::execution
{

/** A run that ended as done, as seen by the leader. Times are negative where an earlier leader placed the run. */
struct DoneRun {
    workload::Incarnation worker;
    std::uint32_t run = 0;
    /** From its placement until the worker started it. */
    Duration startTime;
    /** From its placement until the leader learned of its end. */
    Duration totalTime;
};

class StepReports
{
public:
    void recordDone(const workload::TaskKey &task, const DoneRun &run);
    /** Logs a line for each step that is done in the ledger, and removes the steps of jobs that have ended otherwise. */
    void logEnded(const workload::Workload &state);

private:
    struct Tally {
        std::uint32_t runs = 0;
        std::uint32_t repeated = 0;
        Duration total;
        std::uint32_t lastTask = 0;
        DoneRun lastRun;
    };

    static void logStep(const workload::StepKey &step, const Tally &tally, const workload::Job &job, std::int64_t nowMillis);

    std::map<workload::StepKey, Tally> tallies;
};

} // namespace paddlepier::execution

#endif
