// Bounds how many log lines an event may write in a second.
//
// Under load one event can come thousands of times a second; its first lines tell as much as all of them. What is left
// out is counted, and the count is given with the event's next second.
//
// Example:
//     const LineBudget::Verdict verdict = budget.take("run.ended", now);
//
// Thread safety: every function may be called from any thread. Cost: one look-up under a lock.

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

class LineBudget
{
public:
    struct Verdict {
        bool isAllowed = true;
        /** Lines of the event that were left out in an earlier second and not told yet. */
        std::int64_t leftOut = 0;
    };

    explicit LineBudget(std::int64_t linesPerSecond);

    Verdict take(std::string_view event, Timestamp now);

private:
    struct Second {
        Timestamp begin = absl::InfinitePast();
        std::int64_t lines = 0;
        std::int64_t leftOut = 0;
    };

    const std::int64_t most;
    absl::Mutex mutex;
    std::map<std::string, Second, std::less<>> seconds ABSL_GUARDED_BY(mutex);
};

} // namespace paddlepier

#endif
