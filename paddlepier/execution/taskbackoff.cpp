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

void Setbacks::noteRefusal(Timestamp now, const workload::TaskKey &task)
{
    Setback &setback = this->byTask[task];
    setback.pausedUntil = now + shortestPause * (1U << std::min(setback.refusals, mostDoublings));
    ++setback.refusals;
    this->lastPauseEnd = std::max(this->lastPauseEnd, setback.pausedUntil);
}

bool Setbacks::hasPauses(Timestamp now) const
{
    return now < this->lastPauseEnd;
}

bool Setbacks::noteBadRun(const workload::TaskKey &task)
{
    return ++this->byTask[task].badRuns <= blamedRuns;
}

bool Setbacks::isPaused(Timestamp now, const workload::TaskKey &task) const
{
    const auto found = this->byTask.find(task);
    return found != this->byTask.end() && now < found->second.pausedUntil;
}

} // namespace paddlepier::execution
