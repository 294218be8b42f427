// Which announcements a replica that doesn't lead may answer.

#include "paddlepier/cluster/heartbeatbatcher.h"
#include "paddlepier/workload/applycommand.h"

#include <catch2/catch.hpp>

#include <memory>

namespace paddlepier::cluster
{

namespace
{

class HeartbeatRelayFixture
{
public:
    HeartbeatRelayFixture()
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

    /** @param change  what this announcement says otherwise than the one that is held */
    template<typename Change>
    bool absorbs(std::uint64_t sequence, Change change)
    {
        work::AnnounceCallT call;
        call.registration = std::make_unique<work::RegisterWorkerT>(registrationOf(sequence));
        call.sequence = sequence;
        change(*call.registration);
        return this->relay.absorb(this->state, call);
    }

    workload::Workload state;
    HeartbeatRelay relay;
};

} // namespace

TEST_CASE_METHOD(HeartbeatRelayFixture, "announcementThatTellsNothingNew_isAbsorbedAndToldOnce")
{
    const auto nothing = [](work::RegisterWorkerT &) {};
    CHECK(this->relay.isEmpty());
    CHECK(this->absorbs(6, nothing));
    CHECK(this->absorbs(8, nothing));
    CHECK(this->absorbs(7, nothing));
    const work::HeartbeatsCallT call = this->relay.take();
    REQUIRE(call.heartbeats.size() == 1);
    CHECK(call.heartbeats[0]->worker == "w");
    CHECK(call.heartbeats[0]->born == 700);
    CHECK(call.heartbeats[0]->sequence == 8);
    CHECK(this->relay.isEmpty());
}

TEST_CASE_METHOD(HeartbeatRelayFixture, "announcementThatTellsAnythingElse_isLeftToTheLeader")
{
    using Registration = work::RegisterWorkerT;
    CHECK_FALSE(this->absorbs(4, [](Registration &) {}));
    CHECK_FALSE(this->absorbs(6, [](Registration &said) { said.id = "v"; }));
    CHECK_FALSE(this->absorbs(6, [](Registration &said) { said.born = 900; }));
    CHECK_FALSE(this->absorbs(6, [](Registration &said) { said.born = 0; }));
    CHECK_FALSE(this->absorbs(6, [](Registration &said) { said.isDraining = true; }));
    CHECK_FALSE(this->absorbs(6, [](Registration &said) { said.address = "127.0.0.1:2"; }));
    CHECK_FALSE(this->absorbs(6, [](Registration &said) { said.labels = {"b", "r1"}; }));
    CHECK_FALSE(this->absorbs(6, [](Registration &said) { said.capacity = std::make_unique<work::Demand>(3000, 1000, 0); }));
    CHECK(this->relay.isEmpty());
}

TEST_CASE_METHOD(HeartbeatRelayFixture, "announcementOfADrainingWorker_isLeftToTheLeader")
{
    work::RegisterWorkerT draining = registrationOf(6);
    draining.isDraining = true;
    workload::applyCommand(this->state, 1000, std::move(draining));
    CHECK_FALSE(this->absorbs(7, [](work::RegisterWorkerT &said) { said.isDraining = true; }));
    CHECK_FALSE(this->absorbs(8, [](work::RegisterWorkerT &) {}));
}

} // namespace paddlepier::cluster
