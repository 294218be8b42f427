// Bounds how many log lines an event may write in a second.

#include "paddlepier/base/logratelimiter.h"

#include <utility>

namespace paddlepier
{

LineBudget::LineBudget(std::int64_t linesPerSecond)
    : most(linesPerSecond)
{
}

LineBudget::Verdict LineBudget::take(std::string_view event, Timestamp now)
{
    const absl::MutexLock lock(&this->mutex);
    auto found = this->seconds.find(event);
    if (found == this->seconds.end()) {
        found = this->seconds.emplace(std::string(event), Second()).first;
    }
    Second &second = found->second;
    Verdict verdict;
    if (now - second.begin >= absl::Seconds(1)) {
        second.begin = now;
        second.lines = 0;
        verdict.leftOut = std::exchange(second.leftOut, 0);
    }
    verdict.isAllowed = second.lines < this->most;
    (verdict.isAllowed ? second.lines : second.leftOut) += 1;
    return verdict;
}

} // namespace paddlepier
