// Scheduler: placements by kind of job, partner and quota.

#include "paddlepier/scheduling/scheduler.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <map>

using namespace paddlepier;
using namespace paddlepier::scheduling;

namespace
{

class SchedulerFixture
{
protected:
    template<typename Command>
    ledger::Applied apply(Command command)
    {
        wire::LedgerEntryT entry;
        entry.atMicros = 1;
        entry.command.Set(std::move(command));
        return this->ledger.apply(entry);
    }

    void addWorker(const std::string &name, const std::string &rack, std::uint64_t processors, std::uint64_t accelerators = 0)
    {
        wire::RegisterWorkerT command;
        command.worker = name;
        command.rack = rack;
        command.capacity = wire::Resources(processors, 100000, accelerators);
        this->apply(std::move(command));
    }

    std::uint64_t submit(const std::string &partner, wire::JobKind kind, std::uint32_t tasks, std::uint64_t processors, std::int32_t priority = 0)
    {
        wire::SubmitJobT command;
        command.partner = partner;
        command.submissionId = absl::StrCat(++this->submissions);
        command.spec = std::make_unique<wire::JobSpecT>();
        command.spec->kind = kind;
        command.spec->tasks = tasks;
        command.spec->priority = priority;
        command.spec->resources = wire::Resources(processors, 1, 0);
        return this->apply(std::move(command)).job;
    }

    /** Places tasks until no more fit. */
    void schedule()
    {
        this->scheduler.setReachable(this->ledger, [](const std::string &) { return true; });
        this->scheduler.refresh(this->ledger);
        while (std::optional<wire::PlaceTasksT> command = this->scheduler.decide(this->ledger, 2)) {
            this->apply(std::move(*command));
            this->scheduler.refresh(this->ledger);
        }
    }

    std::uint32_t placed(std::uint64_t job) const
    {
        return this->ledger.findJob(job)->count(wire::TaskState::Placed);
    }

    ledger::Ledger ledger;
    Scheduler scheduler;
    int submissions = 0;
};

} // namespace

TEST_CASE_METHOD(SchedulerFixture, "gang_withoutCapacityForAllTasks_reservesNothing")
{
    this->addWorker("w1", "r1", 3000);
    const std::uint64_t gang = this->submit("p", wire::JobKind::Gang, 4, 1000);
    const std::uint64_t batch = this->submit("p", wire::JobKind::Batch, 2, 1000);
    this->schedule();
    REQUIRE(this->placed(gang) == 0);
    REQUIRE(this->placed(batch) == 2);
    REQUIRE(this->scheduler.explain(this->ledger, *this->ledger.findJob(gang), 2) == wire::WaitReason::WaitingForGang);
    this->addWorker("w2", "r1", 4000);
    this->schedule();
    REQUIRE(this->placed(gang) == 4);
}

TEST_CASE_METHOD(SchedulerFixture, "service_severalRacks_isSpreadAcrossRacks")
{
    for (int number = 0; number < 6; ++number) {
        this->addWorker(absl::StrCat("w", number), absl::StrCat("r", number / 2), 8000);
    }
    const std::uint64_t service = this->submit("p", wire::JobKind::Service, 3, 500);
    this->schedule();
    std::map<std::string, int> racks;
    for (const wire::TaskRecordT &task : this->ledger.findJob(service)->tasks()) {
        ++racks[this->ledger.findWorker(task.worker)->registration().rack];
    }
    REQUIRE(racks.size() == 3);
}

TEST_CASE_METHOD(SchedulerFixture, "batch_severalWorkersFit_isPlacedOnBestFit")
{
    this->addWorker("large", "r1", 16000);
    this->addWorker("small", "r1", 2000);
    this->addWorker("accelerated", "r1", 1500, 2);
    const std::uint64_t batch = this->submit("p", wire::JobKind::Batch, 1, 1500);
    this->schedule();
    REQUIRE(this->ledger.findJob(batch)->tasks()[0].worker == "small");
}

TEST_CASE_METHOD(SchedulerFixture, "partner_otherSubmitsHigherPriority_isNotStarved")
{
    this->addWorker("w1", "r1", 20000);
    const std::uint64_t highPriority = this->submit("loud", wire::JobKind::Batch, 100, 1000, 1000);
    const std::uint64_t lowPriority = this->submit("calm", wire::JobKind::Batch, 1, 1000, 0);
    std::uint64_t lowPriorityPlaced = 0;
    for (int number = 0; number < 30; ++number) {
        this->submit("calm", wire::JobKind::Batch, 1, 1000, 0);
    }
    this->schedule();
    for (const auto &[id, job] : this->ledger.jobs()) {
        lowPriorityPlaced += job.record().partner == "calm" ? job.count(wire::TaskState::Placed) : 0;
    }
    // The priority of the high-priority partner only orders that partner's own jobs.
    REQUIRE(this->placed(lowPriority) == 1);
    REQUIRE(lowPriorityPlaced > 0);
    REQUIRE(this->placed(highPriority) + lowPriorityPlaced == 20);
}

TEST_CASE_METHOD(SchedulerFixture, "quota_reached_limitsPartnerAndExplainsWait")
{
    this->addWorker("w1", "r1", 10000);
    this->scheduler.setQuotas({{"p", 0.5}});
    const std::uint64_t batch = this->submit("p", wire::JobKind::Batch, 8, 1000);
    this->schedule();
    REQUIRE(this->placed(batch) == 5);
    REQUIRE(this->scheduler.explain(this->ledger, *this->ledger.findJob(batch), 2) == wire::WaitReason::OverQuota);
}

TEST_CASE_METHOD(SchedulerFixture, "worker_commandExceedsCapacity_isRejectedByLedger")
{
    this->addWorker("w1", "r1", 1000);
    const std::uint64_t first = this->submit("p", wire::JobKind::Batch, 2, 600);
    wire::PlaceTasksT command;
    for (std::uint32_t index = 0; index < 2; ++index) {
        command.groups.push_back(std::make_unique<wire::PlacementGroupT>());
        command.groups.back()->placements.push_back(std::make_unique<wire::PlacementT>());
        command.groups.back()->placements[0]->job = first;
        command.groups.back()->placements[0]->index = index;
        command.groups.back()->placements[0]->worker = "w1";
    }
    const ledger::Applied applied = this->apply(std::move(command));
    REQUIRE(applied.placed == 1);
    REQUIRE(this->ledger.findWorker("w1")->reserved().milliProcessors() == 600);
}
