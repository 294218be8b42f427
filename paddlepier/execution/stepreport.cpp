// Logs one line for each step that is done.

#include "paddlepier/execution/stepreport.h"

#include "paddlepier/base/log.h"

#include <absl/strings/str_cat.h>

namespace paddlepier::execution
{

void StepReports::recordDone(const workload::TaskKey &task, const DoneRun &run)
{
    Tally &tally = this->tallies[task.stepKey()];
    ++tally.runs;
    tally.repeated += run.run > 1 ? 1 : 0;
    tally.total += run.totalTime;
    tally.lastTask = task.index;
    tally.lastRun = run;
}

void StepReports::logEnded(const workload::Workload &state)
{
    for (auto entry = this->tallies.begin(); entry != this->tallies.end();) {
        const workload::StepKey &key = entry->first;
        const workload::Job *job = state.findJob(key.job);
        const bool isDone = job != nullptr && job->occurrences().at(key.occurrence).steps.at(key.step).isDone();
        if (isDone) {
            logStep(key, entry->second, *job, state.appliedAtMillis());
        }
        entry = isDone || job == nullptr || job->hasEnded() ? this->tallies.erase(entry) : std::next(entry);
    }
}

void StepReports::logStep(const workload::StepKey &step, const Tally &tally, const workload::Job &job, std::int64_t nowMillis)
{
    log::info("dispatch",
              "step.ended",
              {{"step", step.text()},
               {"queue", job.queue().name},
               {"ageMillis", nowMillis - job.submittedAtMillis()},
               {"runs", tally.runs},
               {"repeated", tally.repeated},
               {"meanMillis", absl::ToInt64Milliseconds(tally.total) / tally.runs},
               {"last", absl::StrCat(tally.lastTask, "@", tally.lastRun.worker.text())},
               {"lastRun", tally.lastRun.run},
               {"lastStartMillis", absl::ToInt64Milliseconds(tally.lastRun.startTime)},
               {"lastMillis", absl::ToInt64Milliseconds(tally.lastRun.totalTime)},
               {"jobEnded", job.hasEnded()}});
}

} // namespace paddlepier::execution
