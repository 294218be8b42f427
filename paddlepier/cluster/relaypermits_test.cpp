// Permits of a relay that is paused, or whose leader is replaced. Guards against TWICE: without them an order is relayed seconds after its leader was
// deposed, to a worker that has restarted under its id.

#include "paddlepier/cluster/relaypermits.h"

#include <catch2/catch.hpp>

namespace paddlepier::cluster
{

namespace
{

class RelayPermitsFixture
{
public:
    const Timestamp start = absl::UnixEpoch() + absl::Hours(1);
    RelayPermits permits;
};

} // namespace

TEST_CASE_METHOD(RelayPermitsFixture, "permit_ofAnInstanceThatHasAnsweredNothing_isNone")
{
    CHECK(this->permits.permitFor(this->start, "core-1") == nullptr);
    this->permits.confirmLeader("core-1", this->start);
    CHECK(this->permits.permitFor(this->start, "core-1") != nullptr);
    CHECK(this->permits.permitFor(this->start, "core-2") == nullptr);
}

TEST_CASE_METHOD(RelayPermitsFixture, "permit_afterAPauseOfThisProcess_isNoneUntilTheLeaderAnswersAgain")
{
    this->permits.confirmLeader("core-1", this->start);
    const auto permit = this->permits.permitFor(this->start, "core-1");
    const Timestamp resumedAt = this->start + absl::Seconds(4);
    CHECK_FALSE(permit->isValid(resumedAt));
    CHECK(this->permits.permitFor(resumedAt, "core-1") == nullptr);
    this->permits.confirmLeader("core-1", resumedAt);
    CHECK(this->permits.permitFor(resumedAt, "core-1") != nullptr);
}

TEST_CASE_METHOD(RelayPermitsFixture, "permit_ofALeaderThatWasReplaced_isRevoked")
{
    this->permits.confirmLeader("core-1", this->start);
    const auto permit = this->permits.permitFor(this->start, "core-1");
    this->permits.confirmLeader("core-2", this->start + absl::Milliseconds(200));
    CHECK_FALSE(permit->isValid(this->start));
    CHECK(this->permits.permitFor(this->start, "core-1") == nullptr);
    // The answer of the first leader to an earlier call is read late.
    this->permits.confirmLeader("core-1", this->start + absl::Milliseconds(100));
    CHECK(this->permits.permitFor(this->start, "core-1") == nullptr);
    CHECK(this->permits.permitFor(this->start + absl::Milliseconds(200), "core-2") != nullptr);
}

} // namespace paddlepier::cluster
