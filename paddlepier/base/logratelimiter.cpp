// Limits the number of log lines per event and second.

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
    Window &window = found->second;
    Decision decision;
    if (now - window.begin >= absl::Seconds(1)) {
        window.begin = now;
        window.lines = 0;
        decision.suppressedLines = std::exchange(window.suppressedLines, 0);
    }
    decision.isAllowed = window.lines < this->limit;
    (decision.isAllowed ? window.lines : window.suppressedLines) += 1;
    return decision;
}

} // namespace paddlepier
