// Tasks whose starts come to nothing without anybody being to blame for certain.

#include "paddlepier/execution/setbacks.h"

#include <algorithm>

namespace paddlepier::execution
{

namespace
{

/** Pause after the first refusal, doubled with each further one: a few plans, and a caller's patience at most. */
constexpr Duration shortestPause = absl::Milliseconds(200);
constexpr std::uint32_t mostDoublings = 6;

/** Runs of one task that may stand still before its further workers aren't blamed: two workers in trouble at a time are usual. */
constexpr std::uint32_t blamedStandstills = 2;

} // namespace

void Setbacks::noteRefusal(Timestamp now, const workload::TaskKey &task)
{
    Setback &setback = this->byTask[task];
    setback.pausedUntil = now + shortestPause * (1U << std::min(setback.refusals, mostDoublings));
    ++setback.refusals;
}

bool Setbacks::noteStandstill(const workload::TaskKey &task)
{
    return ++this->byTask[task].standstills <= blamedStandstills;
}

bool Setbacks::isPaused(Timestamp now, const workload::TaskKey &task) const
{
    const auto found = this->byTask.find(task);
    return found != this->byTask.end() && now < found->second.pausedUntil;
}

} // namespace paddlepier::execution
