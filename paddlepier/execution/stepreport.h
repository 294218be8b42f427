// One line of the log for each step that is done, in place of one for each of its runs.
//
// A large cell ends more runs a second than a bounded log may hold lines. What somebody asks who looks for the cause of a
// late job is which task of a step was the last, where it ran, and what the others took; runs that end in any other way than
// done still have a line each.
//
// Example:
//     reports.noteDone(key, {worker, startTime, runTime});
//     reports.writeEnded(state);
//
// Thread safety: none; owned by the dispatcher. Cost: noteDone() is O(log steps), writeEnded() O(steps with ends that wait).

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

/** A run that ended as done, as the leader saw it; negative times where it was placed by an earlier leader. */
struct DoneRun {
    workload::Life worker;
    std::uint32_t run = 0;
    /** From its placement until its worker had begun it. */
    Duration startTime;
    /** From its placement until its end was heard of. */
    Duration wholeTime;
};

class StepReports
{
public:
    void noteDone(const workload::TaskKey &task, const DoneRun &run);
    /** Writes a line for each step that the ledger has as done, and drops those of jobs that have ended otherwise. */
    void writeEnded(const workload::Workload &state);

private:
    struct Tally {
        std::uint32_t runs = 0;
        std::uint32_t repeated = 0;
        Duration total;
        std::uint32_t lastTask = 0;
        DoneRun lastRun;
    };

    static void write(const workload::StepKey &step, const Tally &tally, const workload::Job &job, std::int64_t nowMillis);

    std::map<workload::StepKey, Tally> tallies;
};

} // namespace paddlepier::execution

#endif
