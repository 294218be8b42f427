// PaceControl: the speed of filling runs follows the tail latency of serving runs.

#include "paddlepier/execution/pacecontrol.h"

#include <catch2/catch.hpp>

namespace paddlepier::execution
{

namespace
{

class PaceControlFixture
{
public:
    std::uint32_t after(Duration time, std::uint32_t tailMillis)
    {
        std::uint32_t pace = this->control.pace();
        for (const Timestamp end = this->now + time; this->now < end; this->now += absl::Milliseconds(300)) {
            pace = this->control.update(this->now, {{10, 100}, {tailMillis, 100}});
        }
        return pace;
    }

    PaceControl control;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
};

} // namespace

TEST_CASE_METHOD(PaceControlFixture, "pace_whileServingIsFarOverItsTarget_isZeroWithinTwoSeconds")
{
    CHECK(this->after(absl::Seconds(2), 150) == 0);
    CHECK(this->control.stoppedSince() < this->now);
}

TEST_CASE_METHOD(PaceControlFixture, "pace_afterServingHasRecovered_risesToTheFull")
{
    this->after(absl::Seconds(2), 150);
    CHECK(this->after(absl::Seconds(2), 20) > 0);
    CHECK(this->control.stoppedSince() == absl::InfiniteFuture());
    CHECK(this->after(absl::Seconds(10), 20) == 100);
}

TEST_CASE_METHOD(PaceControlFixture, "pace_whileServingIsBetweenItsBounds_stays")
{
    this->after(absl::Milliseconds(600), 90);
    const std::uint32_t before = this->control.pace();
    CHECK(this->after(absl::Seconds(5), 70) == before);
}

} // namespace paddlepier::execution
