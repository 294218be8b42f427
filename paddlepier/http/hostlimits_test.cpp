// Limits of transfers to one host, in virtual time.

#include "paddlepier/http/hostlimits.h"

#include <catch2/catch.hpp>

namespace paddlepier::http
{

namespace
{

class HostLimitsFixture
{
public:
    HostLimitsFixture()
    {
        this->limits.setMaxPerHost(4);
    }

    /** Begins as many transfers as the limit allows. @return their number */
    std::size_t beginAll()
    {
        std::size_t begun = 0;
        while (this->limits.tryBegin("a", this->now)) {
            ++begun;
        }
        return begun;
    }

    void end(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            this->limits.end("a");
        }
    }

    HostLimits limits;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
};

} // namespace

TEST_CASE_METHOD(HostLimitsFixture, "transfers_beyondTheLimitOfTheirHost_wait")
{
    CHECK(this->beginAll() == 4);
    CHECK(this->limits.tryBegin("b", this->now));
    this->end(1);
    CHECK(this->beginAll() == 1);
    CHECK_FALSE(this->limits.isScarce("a"));
}

TEST_CASE_METHOD(HostLimitsFixture, "limit_afterRefusal_isTheNumberOfOpenConnections")
{
    CHECK(this->beginAll() == 4);
    this->end(2);
    this->limits.recordRefusal("a", 2, this->now);
    CHECK(this->limits.isScarce("a"));
    CHECK(this->beginAll() == 0);
    this->end(1);
    CHECK(this->beginAll() == 1);
}

// Guards against a poll that blocks all orders to a worker that has restarted: a refusal while no connection works is no sign of scarcity.
TEST_CASE_METHOD(HostLimitsFixture, "limit_ofHostWithoutWorkingConnection_staysOrIsRestored")
{
    this->limits.recordRefusal("a", 0, this->now);
    CHECK_FALSE(this->limits.isScarce("a"));
    CHECK(this->beginAll() == 4);
    this->end(4);
    this->limits.recordRefusal("a", 1, this->now);
    CHECK(this->beginAll() == 1);
    this->limits.reset("a");
    CHECK(this->beginAll() == 3);
}

TEST_CASE_METHOD(HostLimitsFixture, "limit_afterRefusals_risesOneByOneWhileTransfersWait")
{
    this->limits.recordRefusal("a", 1, this->now);
    CHECK(this->beginAll() == 1);
    this->now += limitIncreaseInterval;
    CHECK(this->beginAll() == 1);
    this->now += limitIncreaseInterval;
    CHECK(this->beginAll() == 1);
    CHECK(this->limits.isScarce("a"));
    this->now += limitIncreaseInterval;
    CHECK(this->beginAll() == 1);
    CHECK_FALSE(this->limits.isScarce("a"));
    this->now += limitIncreaseInterval;
    CHECK(this->beginAll() == 0);
}

} // namespace paddlepier::http
