// Which announcements may be answered by a replica that isn't the leader. One that contains a change must reach the
// leader, or a joining or draining worker would be acknowledged before the change is committed.

#include "paddlepier/cluster/heartbeatbatcher.h"
#include "paddlepier/workload/applycommand.h"

#include <catch2/catch.hpp>

#include <memory>

namespace paddlepier::cluster
{

namespace
{

class HeartbeatBatcherFixture
{
public:
    HeartbeatBatcherFixture()
    {
        workload::applyCommand(this->state, 1000, registrationOf(5));
    }

    static work::RegisterWorkerT registrationOf(std::uint64_t sequence)
    {
        work::RegisterWorkerT registration;
        registration.id = "w";
        registration.born = 700;
        registration.service = "pool";
        registration.address = "127.0.0.1:1";
        registration.labels = {"a", "r1"};
        registration.capacity = std::make_unique<work::Demand>(4000, 1000, 0);
        registration.sequence = sequence;
        return registration;
    }

    /** @param change  modifies the registration before it is announced */
    template<typename Change>
    bool isAbsorbed(std::uint64_t sequence, Change change)
    {
        work::AnnounceCallT call;
        call.registration = std::make_unique<work::RegisterWorkerT>(registrationOf(sequence));
        call.sequence = sequence;
        change(*call.registration);
        return this->batcher.absorb(this->state, call);
    }

    workload::Workload state;
    HeartbeatBatcher batcher;
};

} // namespace

TEST_CASE_METHOD(HeartbeatBatcherFixture, "announcement_withoutChange_isAbsorbedAndReportedOnce")
{
    const auto nothing = [](work::RegisterWorkerT &) {};
    CHECK(this->batcher.isEmpty());
    CHECK(this->isAbsorbed(6, nothing));
    CHECK(this->isAbsorbed(8, nothing));
    CHECK(this->isAbsorbed(7, nothing));
    const work::HeartbeatsCallT call = this->batcher.drain();
    REQUIRE(call.heartbeats.size() == 1);
    CHECK(call.heartbeats[0]->worker == "w");
    CHECK(call.heartbeats[0]->born == 700);
    CHECK(call.heartbeats[0]->sequence == 8);
    CHECK(this->batcher.isEmpty());
}

TEST_CASE_METHOD(HeartbeatBatcherFixture, "announcement_withAnyChange_isLeftToLeader")
{
    using Registration = work::RegisterWorkerT;
    // Older than the registration, whose sequence number is 5.
    CHECK_FALSE(this->isAbsorbed(4, [](Registration &) {}));
    CHECK_FALSE(this->isAbsorbed(6, [](Registration &changed) { changed.id = "v"; }));
    CHECK_FALSE(this->isAbsorbed(6, [](Registration &changed) { changed.born = 900; }));
    CHECK_FALSE(this->isAbsorbed(6, [](Registration &changed) { changed.born = 0; }));
    CHECK_FALSE(this->isAbsorbed(6, [](Registration &changed) { changed.isDraining = true; }));
    CHECK_FALSE(this->isAbsorbed(6, [](Registration &changed) { changed.address = "127.0.0.1:2"; }));
    CHECK_FALSE(this->isAbsorbed(6, [](Registration &changed) { changed.labels = {"b", "r1"}; }));
    CHECK_FALSE(this->isAbsorbed(6, [](Registration &changed) { changed.capacity = std::make_unique<work::Demand>(3000, 1000, 0); }));
    CHECK(this->batcher.isEmpty());
}

TEST_CASE_METHOD(HeartbeatBatcherFixture, "announcement_ofDrainingWorker_isLeftToLeader")
{
    work::RegisterWorkerT draining = registrationOf(6);
    draining.isDraining = true;
    workload::applyCommand(this->state, 1000, std::move(draining));
    CHECK_FALSE(this->isAbsorbed(7, [](work::RegisterWorkerT &changed) { changed.isDraining = true; }));
    CHECK_FALSE(this->isAbsorbed(8, [](work::RegisterWorkerT &) {}));
}

} // namespace paddlepier::cluster
