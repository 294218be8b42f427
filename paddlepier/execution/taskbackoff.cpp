// Backoff for tasks whose starts are refused.

#include "paddlepier/execution/taskbackoff.h"

#include <algorithm>

namespace paddlepier::execution
{

namespace
{

/** Backoff after the first refusal, doubled with each further one: from the time of a few plans up to the time for which a caller typically waits. */
constexpr Duration minBackoff = absl::Milliseconds(200);
constexpr std::uint32_t maxDoublings = 6;

} // namespace

void TaskBackoff::recordRefusal(Timestamp now, const workload::TaskKey &task)
{
    Entry &setback = this->byTask[task];
    setback.backoffUntil = now + minBackoff * (1U << std::min(setback.refusals, maxDoublings));
    ++setback.refusals;
    this->latestBackoffEnd = std::max(this->latestBackoffEnd, setback.backoffUntil);
}

bool TaskBackoff::hasBackoffs(Timestamp now) const
{
    return now < this->latestBackoffEnd;
}

bool TaskBackoff::isBackingOff(Timestamp now, const workload::TaskKey &task) const
{
    const auto found = this->byTask.find(task);
    return found != this->byTask.end() && now < found->second.backoffUntil;
}

} // namespace paddlepier::execution
