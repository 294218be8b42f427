// Lines a second of one event, and the count of those left out.

#include "paddlepier/base/logratelimiter.h"

#include <catch2/catch.hpp>

namespace paddlepier
{

namespace
{

class LineBudgetFixture
{
public:
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    LineBudget budget{3};
};

} // namespace

TEST_CASE_METHOD(LineBudgetFixture, "event_overItsBudget_isLeftOutAndToldInTheNextSecond")
{
    for (int line = 0; line < 3; ++line) {
        CHECK(this->budget.take("a", this->now).isAllowed);
    }
    CHECK_FALSE(this->budget.take("a", this->now + absl::Milliseconds(500)).isAllowed);
    CHECK_FALSE(this->budget.take("a", this->now + absl::Milliseconds(999)).isAllowed);
    const LineBudget::Verdict next = this->budget.take("a", this->now + absl::Seconds(1));
    CHECK(next.isAllowed);
    CHECK(next.leftOut == 2);
    CHECK(this->budget.take("a", this->now + absl::Seconds(3)).leftOut == 0);
}

TEST_CASE_METHOD(LineBudgetFixture, "event_besideAnotherOverItsBudget_isAllowed")
{
    for (int line = 0; line < 10; ++line) {
        this->budget.take("a", this->now);
    }
    CHECK(this->budget.take("b", this->now).isAllowed);
}

} // namespace paddlepier
