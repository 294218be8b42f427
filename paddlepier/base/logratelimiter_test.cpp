// Limit of lines per event and second, and the count of suppressed lines.

#include "paddlepier/base/logratelimiter.h"

#include <catch2/catch.hpp>

namespace paddlepier
{

namespace
{

class LogRateLimiterFixture
{
public:
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    LogRateLimiter limiter{3};
};

} // namespace

TEST_CASE_METHOD(LogRateLimiterFixture, "event_overItsLimit_isSuppressedAndReportedInTheNextSecond")
{
    for (int line = 0; line < 3; ++line) {
        CHECK(this->limiter.admit("a", this->now).isAllowed);
    }
    CHECK_FALSE(this->limiter.admit("a", this->now + absl::Milliseconds(500)).isAllowed);
    CHECK_FALSE(this->limiter.admit("a", this->now + absl::Milliseconds(999)).isAllowed);
    const LogRateLimiter::Decision next = this->limiter.admit("a", this->now + absl::Seconds(1));
    CHECK(next.isAllowed);
    CHECK(next.suppressedLines == 2);
    CHECK(this->limiter.admit("a", this->now + absl::Seconds(3)).suppressedLines == 0);
}

TEST_CASE_METHOD(LogRateLimiterFixture, "event_besideAnotherOverItsLimit_isAllowed")
{
    for (int line = 0; line < 10; ++line) {
        this->limiter.admit("a", this->now);
    }
    CHECK(this->limiter.admit("b", this->now).isAllowed);
}

} // namespace paddlepier
