// A leader that can't serve transfers its leadership: its followers still receive its heartbeats and don't replace it.

#include "paddlepier/replication/servingwatchdog.h"

#include <catch2/catch.hpp>

namespace paddlepier::replication
{

namespace
{

class ServingWatchdogFixture
{
public:
    /** @return number of transfers requested */
    int advance(Duration time, bool leads, bool serves)
    {
        int transfers = 0;
        for (const Timestamp end = this->now + time; this->now < end; this->now += absl::Milliseconds(20)) {
            transfers += this->watchdog.update(this->now, leads, serves) ? 1 : 0;
        }
        return transfers;
    }

    ServingWatchdog watchdog;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
};

} // namespace

TEST_CASE_METHOD(ServingWatchdogFixture, "leader_neverServing_transfersOncePerInterval")
{
    CHECK(this->advance(absl::Seconds(1), false, false) == 0);
    CHECK(this->advance(absl::Seconds(4), true, false) == 2);
}

TEST_CASE_METHOD(ServingWatchdogFixture, "leader_servingWithPauses_isKept")
{
    for (int round = 0; round < 5; ++round) {
        CHECK(this->advance(absl::Seconds(1), true, false) == 0);
        CHECK(this->advance(absl::Milliseconds(40), true, true) == 0);
    }
}

} // namespace paddlepier::replication
