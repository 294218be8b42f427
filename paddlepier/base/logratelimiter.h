// Limits the number of log lines per event and second.
//
// Under load an event can occur thousands of times a second, and its first lines are as informative as all of them. Suppressed lines are
// counted; the count is returned with the first line of the event in a later second.
//
// Example:
//     const LogRateLimiter::Decision decision = limiter.admit("run.ended", now);
//
// Thread safety: every function may be called from any thread. Cost: one lookup under a lock.

#ifndef PADDLEPIER_BASE_LOGRATELIMITER_H
#define PADDLEPIER_BASE_LOGRATELIMITER_H

#include "paddlepier/base/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace paddlepier
{

class LogRateLimiter
{
public:
    struct Decision {
        bool isAllowed = true;
        /** Lines of the event that were suppressed in an earlier second and not reported yet. */
        std::int64_t suppressedLines = 0;
    };

    explicit LogRateLimiter(std::int64_t linesPerSecond);

    Decision admit(std::string_view event, Timestamp now);

private:
    struct Window {
        Timestamp begin = absl::InfinitePast();
        std::int64_t lines = 0;
        std::int64_t suppressedLines = 0;
    };

    const std::int64_t limit;
    absl::Mutex mutex;
    std::map<std::string, Window, std::less<>> windows ABSL_GUARDED_BY(mutex);
};

} // namespace paddlepier

#endif
