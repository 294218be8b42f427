// Bounds how many log lines an event may write in a second.

#include "paddlepier/base/logratelimiter.h"

#include <utility>

namespace paddlepier
{

LogRateLimiter::LogRateLimiter(std::int64_t linesPerSecond)
    : limit(linesPerSecond)
{
}

LogRateLimiter::Decision LogRateLimiter::admit(std::string_view event, Timestamp now)
{
    const absl::MutexLock lock(&this->mutex);
    auto found = this->windows.find(event);
    if (found == this->windows.end()) {
        found = this->windows.emplace(std::string(event), Window()).first;
    }
    Window &second = found->second;
    Decision verdict;
    if (now - second.begin >= absl::Seconds(1)) {
        second.begin = now;
        second.lines = 0;
        verdict.suppressedLines = std::exchange(second.suppressedLines, 0);
    }
    verdict.isAllowed = second.lines < this->limit;
    (verdict.isAllowed ? second.lines : second.suppressedLines) += 1;
    return verdict;
}

} // namespace paddlepier
