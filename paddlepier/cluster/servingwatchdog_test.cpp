// A leader that can't serve gives its place up.

#include "paddlepier/cluster/servingwatchdog.h"

#include <catch2/catch.hpp>

namespace paddlepier::cluster
{

namespace
{

class ServingWatchFixture
{
public:
    /** @return how often it asked for a hand-over */
    int pass(Duration time, bool leads, bool serves)
    {
        int asked = 0;
        for (const Timestamp end = this->now + time; this->now < end; this->now += absl::Milliseconds(20)) {
            asked += this->watch.note(this->now, leads, serves) ? 1 : 0;
        }
        return asked;
    }

    ServingWatch watch;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
};

} // namespace

TEST_CASE_METHOD(ServingWatchFixture, "leader_thatNeverServes_handsOverOnceEachTime")
{
    CHECK(this->pass(absl::Seconds(1), false, false) == 0);
    CHECK(this->pass(absl::Seconds(4), true, false) == 2);
}

TEST_CASE_METHOD(ServingWatchFixture, "leader_thatServesWithPauses_keepsItsPlace")
{
    for (int round = 0; round < 5; ++round) {
        CHECK(this->pass(absl::Seconds(1), true, false) == 0);
        CHECK(this->pass(absl::Milliseconds(40), true, true) == 0);
    }
}

} // namespace paddlepier::cluster
