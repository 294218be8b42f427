// Evacuated data centres: they get no new work, and starts in flight are cancelled.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <set>

namespace paddlepier::execution
{

namespace
{

/** Two workers in `north`, two in `south`; counts starts that are sent to workers of an evacuated data centre. */
class EvacuationFixture : public DispatcherFixture
{
public:
    EvacuationFixture()
    {
        for (const char *id : {"n1", "n2", "s1", "s2"}) {
            this->addWorker(id);
            this->registrations.at(id).zone = *id == 'n' ? "north" : "south";
            this->apply(this->registrations.at(id));
        }
        this->electLeader();
        this->runFor(absl::Seconds(1));
        this->onCall = [this](const WorkerCall &call) {
            const bool isEvacuated = this->state.isEvacuated(*this->state.findWorker(call.worker));
            this->lateStarts += isEvacuated && std::holds_alternative<StartOrder>(call.order) ? 1 : 0;
        };
    }

    void evacuate(const std::string &dataCentre, bool isEvacuated = true)
    {
        work::ChangeEvacuationT command;
        command.dataCentre = dataCentre;
        command.isEvacuated = isEvacuated;
        this->apply(std::move(command));
        this->dispatcher->markChanged();
    }

    std::size_t runsIn(char dataCentre)
    {
        return this->workers.workers[absl::StrCat(std::string(1, dataCentre), "1")].runs.size()
               + this->workers.workers[absl::StrCat(std::string(1, dataCentre), "2")].runs.size();
    }

    /** Starts sent to a worker after its data centre was evacuated. */
    std::size_t lateStarts = 0;
};

} // namespace

TEST_CASE_METHOD(EvacuationFixture, "evacuatedDataCentre_getsNoNewRuns_andKeepsItsRunningOnes")
{
    this->addJob("a", 16, 3000);
    REQUIRE(this->runUntil([this] { return this->runsIn('n') == 8; }, absl::Seconds(1)));
    this->evacuate("north");
    this->addJob("b", 8, 500);
    this->runFor(absl::Seconds(1));
    CHECK(this->runsIn('n') == 8);
    CHECK(this->runUntil([this] { return this->isCompleted("a") && this->isCompleted("b"); }, absl::Seconds(10)));
    CHECK(this->lateStarts == 0);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(EvacuationFixture, "startsInFlight_whenTheirDataCentreIsEvacuated_areCancelled")
{
    this->networkFaults.requestLossPercent = 100;
    this->addJob("a", 16, 1000);
    REQUIRE(this->runUntil([this] { return this->state.findJob("a")->activeRunCount() == 16; }, absl::Seconds(2)));
    this->evacuate("north");
    this->networkFaults.requestLossPercent = 0;
    REQUIRE(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(30)));
    CHECK(this->lateStarts == 0);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(EvacuationFixture, "newLeader_whilePlacementsOfTheEarlierOneAreOpen_startsNoneInAnEvacuatedDataCentre")
{
    this->networkFaults.requestLossPercent = 100;
    this->addJob("a", 16, 1000);
    REQUIRE(this->runUntil([this] { return this->state.findJob("a")->activeRunCount() == 16; }, absl::Seconds(2)));
    this->evacuate("north");
    this->networkFaults.requestLossPercent = 0;
    this->electLeader();
    REQUIRE(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(30)));
    CHECK(this->lateStarts == 0);
}

TEST_CASE_METHOD(EvacuationFixture, "gangWithTickets_whileADataCentreIsEvacuated_usesTheOther")
{
    this->queueOfJobs = "advised";
    std::set<std::string> requested;
    this->isPermitted = [&requested](const workload::StepKey &, const std::string &worker) {
        requested.insert(worker);
        return true;
    };
    this->evacuate("north");
    this->addJob("gang", 6, 500, 1, false, true);
    REQUIRE(this->runUntil([this] { return this->isCompleted("gang"); }, absl::Seconds(10)));
    CHECK_FALSE(requested.contains("n1"));
    CHECK_FALSE(requested.contains("n2"));
}

TEST_CASE_METHOD(EvacuationFixture, "evacuationOfAllDataCentres_keepsJobsWaiting_untilOneIsWithdrawn")
{
    this->evacuate("north");
    this->evacuate("south");
    this->addJob("a", 2, 500);
    this->runFor(absl::Seconds(14));
    CHECK(this->runsIn('n') + this->runsIn('s') == 0);
    CHECK(this->dispatcher->longWaitReason("a") == "step a.0.0 waits: evacuated");
    this->evacuate("south", false);
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(3)));
    CHECK(this->lateStarts == 0);
}

} // namespace paddlepier::execution
