// Tasks whose starts come to nothing without anybody being to blame for certain.

#include "paddlepier/execution/taskbackoff.h"

#include <algorithm>

namespace paddlepier::execution
{

namespace
{

/** Pause after the first refusal, doubled with each further one: a few plans, and a caller's patience at most. */
constexpr Duration shortestPause = absl::Milliseconds(200);
constexpr std::uint32_t mostDoublings = 6;

/** Bad runs of one task for which their workers are blamed: that it meets two workers in trouble is usual. */
constexpr std::uint32_t blamedRuns = 2;

} // namespace

void TaskBackoff::recordRefusal(Timestamp now, const workload::TaskKey &task)
{
    Entry &setback = this->byTask[task];
    setback.backoffUntil = now + shortestPause * (1U << std::min(setback.refusals, mostDoublings));
    ++setback.refusals;
    this->latestBackoffEnd = std::max(this->latestBackoffEnd, setback.backoffUntil);
}

bool TaskBackoff::hasBackoffs(Timestamp now) const
{
    return now < this->latestBackoffEnd;
}

bool TaskBackoff::recordFailedRun(const workload::TaskKey &task)
{
    return ++this->byTask[task].failedRuns <= blamedRuns;
}

bool TaskBackoff::isBackingOff(Timestamp now, const workload::TaskKey &task) const
{
    const auto found = this->byTask.find(task);
    return found != this->byTask.end() && now < found->second.backoffUntil;
}

} // namespace paddlepier::execution
