// Worker incarnations in a workload: commands affect only the incarnation that they name, and snapshots restore all incarnations.
// Also evacuation of a data centre, which refuses placements on its workers.

#include "paddlepier/workload/applycommand.h"

#include <catch2/catch.hpp>

#include <memory>

namespace paddlepier::workload
{

namespace
{

class IncarnationFixture
{
public:
    IncarnationFixture()
    {
        work::ChangeConfigurationT configuration;
        configuration.version = 1;
        configuration.queues.emplace_back(std::make_unique<work::QueueSpecT>())->name = "quick";
        this->apply(std::move(configuration));
        work::SubmitJobT job;
        job.id = "a";
        job.queue = "quick";
        job.spec = std::make_unique<work::JobSpecT>();
        auto &step = job.spec->steps.emplace_back(std::make_unique<work::StepSpecT>());
        step->count = 4;
        step->demand = std::make_unique<work::Demand>(1000, 100, 0);
        this->apply(std::move(job));
    }

    template<typename Table>
    Outcome apply(Table table)
    {
        return applyCommand(this->state, 1000, std::move(table));
    }

    void announce(const Incarnation &incarnation, std::uint64_t sequence, std::uint32_t processors = 4000, const std::string &zone = "")
    {
        work::RegisterWorkerT registration;
        registration.id = incarnation.id;
        registration.born = incarnation.born;
        registration.sequence = sequence;
        registration.zone = zone;
        registration.capacity = std::make_unique<work::Demand>(processors, 10'000, 0);
        this->apply(std::move(registration));
    }

    void place(std::uint32_t index, const Incarnation &incarnation)
    {
        work::PlaceRunsT command;
        auto &placement = command.placements.emplace_back(std::make_unique<work::PlacementT>());
        placement->task = key(index).record();
        placement->run = 1;
        placement->worker = incarnation.id;
        placement->born = incarnation.born;
        this->apply(std::move(command));
    }

    void end(std::uint32_t index, const Incarnation &incarnation, std::uint64_t sequence)
    {
        work::RecordEndsT command;
        command.worker = incarnation.id;
        command.born = incarnation.born;
        auto &run = command.ends.emplace_back(std::make_unique<work::RunEndT>());
        run->task = key(index).record();
        run->run = 1;
        run->kind = work::RunEndKind::Done;
        run->sequence = sequence;
        this->apply(std::move(command));
    }

    static TaskKey key(std::uint32_t index)
    {
        return {"a", 0, 0, index};
    }

    const Task &task(std::uint32_t index) const
    {
        return this->state.findJob("a")->task(key(index));
    }

    Workload state;
    const Incarnation first{"w", 5000};
    const Incarnation second{"w", 9000};
};

} // namespace

TEST_CASE_METHOD(IncarnationFixture, "announcement_ofAnEarlierIncarnation_isIgnored")
{
    this->announce(this->second, 1);
    this->announce(this->first, 700, 1000);
    this->announce({"w"}, 900, 1000);
    REQUIRE(this->state.workers().size() == 1);
    CHECK(this->state.findLatestWorker("w")->registration.capacity->milliProcessors() == 4000);
    CHECK(this->state.findLatestWorker("v") == nullptr);
}

TEST_CASE_METHOD(IncarnationFixture, "nextIncarnation_withLowerSequence_numbersItsEndsFromOne")
{
    this->announce(this->first, 700);
    this->place(0, this->first);
    this->end(0, this->first, 57);
    this->announce(this->second, 1);
    REQUIRE(this->state.workers().size() == 2);
    CHECK(this->state.findWorker(this->first)->lastSequence == 57);
    CHECK(this->state.findWorker(this->second)->lastSequence == 0);
    this->place(1, this->second);
    this->end(1, this->first, 58); // sent by another incarnation: not the end of this run
    CHECK_FALSE(this->task(1).isDone);
    this->end(1, this->second, 1);
    CHECK(this->task(1).isDone);
}

TEST_CASE_METHOD(IncarnationFixture, "removedIncarnation_withRunsOnTheNextOne_movesThem")
{
    this->announce(this->first, 1);
    this->place(0, this->first);
    this->place(1, this->first);
    this->announce(this->second, 1);
    work::RemoveWorkerT command;
    command.id = "w";
    command.born = this->first.born;
    command.end = work::LifeEnd::Crashed;
    command.nextBorn = this->second.born;
    auto &moved = command.moved.emplace_back(std::make_unique<work::RunEndT>());
    moved->task = key(0).record();
    moved->run = 1;
    for (const std::uint32_t index : {0, 1}) {
        auto &lost = command.lost.emplace_back(std::make_unique<work::RunEndT>());
        lost->task = key(index).record();
        lost->run = 1;
        lost->atLoss = work::RunAtLoss::Fresh;
    }
    this->apply(std::move(command));
    CHECK(this->state.workers().size() == 1);
    CHECK(this->task(0).worker == this->second);
    CHECK(this->task(0).lostWorkers.empty());
    CHECK(this->state.findWorker(this->second)->reservedMilliProcessors == 1000);
    CHECK_FALSE(this->task(1).hasRun());
    CHECK(this->task(1).lostWorkers == std::vector<std::string>{"w@5000"});
}

TEST_CASE_METHOD(IncarnationFixture, "snapshot_withTwoIncarnationsOfAnId_restoresBoth")
{
    this->announce(this->first, 3);
    this->place(0, this->first);
    this->announce(this->second, 1);
    this->place(1, this->second);
    Workload again;
    again.restore(this->state.snapshot());
    REQUIRE(again.workers().size() == 2);
    CHECK(again.findWorker(this->first)->runs == std::set<TaskKey>{key(0)});
    CHECK(again.findWorker(this->second)->runs == std::set<TaskKey>{key(1)});
    CHECK(again.findJob("a")->task(key(1)).worker == this->second);
}

TEST_CASE_METHOD(IncarnationFixture, "incarnation_withoutStartTime_isTheEarliestOfItsId")
{
    this->announce({"w"}, 40);
    this->place(0, {"w"});
    Workload again;
    again.restore(this->state.snapshot());
    CHECK(again.findJob("a")->task(key(0)).worker == Incarnation{"w"});
    this->announce(this->first, 1);
    CHECK(this->state.findLatestWorker("w")->registration.born == this->first.born);
    CHECK(this->first.isAfter({"w"}));
    CHECK_FALSE(this->first.isAfter({"v"}));
}

TEST_CASE_METHOD(IncarnationFixture, "evacuation_ofTheWorkersDataCentre_refusesPlacementsUntilWithdrawn")
{
    const auto change = [this](bool isEvacuated) {
        work::ChangeEvacuationT command;
        command.dataCentre = "north";
        command.isEvacuated = isEvacuated;
        return this->apply(std::move(command)).error;
    };
    this->announce(this->first, 1, 4000, "north");
    this->place(0, this->first);
    for (int times = 0; times < 2; ++times) {
        CHECK(change(true) == ErrorCode::None);
        this->place(1, this->first);
        CHECK(this->task(0).worker == this->first);
        CHECK_FALSE(this->task(1).hasRun());
    }
    Workload again;
    again.restore(this->state.snapshot());
    CHECK(again.evacuatedDataCentres() == this->state.evacuatedDataCentres());
    CHECK(again.isEvacuated(*again.findWorker(this->first)));
    CHECK(change(false) == ErrorCode::None);
    CHECK(change(false) == ErrorCode::None);
    this->place(1, this->first);
    CHECK(this->task(1).worker == this->first);
}

namespace
{

class QueueAddressFixture
{
public:
    struct Queue {
        std::string name;
        std::string host;
        std::string pathPrefix;
    };

    void configure(const std::vector<Queue> &queues)
    {
        work::ChangeConfigurationT configuration;
        configuration.version = ++this->version;
        for (const Queue &entry : queues) {
            auto &queue = configuration.queues.emplace_back(std::make_unique<work::QueueSpecT>());
            queue->name = entry.name;
            queue->host = entry.host;
            queue->pathPrefix = entry.pathPrefix;
        }
        const Outcome outcome = applyCommand(this->state, 1000, std::move(configuration));
        CHECK(outcome.error == ErrorCode::None);
    }

    ErrorCode submit(const Queue &queue)
    {
        work::SubmitJobT job;
        job.id = id;
        job.queue = queue.name;
        job.host = queue.host;
        job.pathPrefix = queue.pathPrefix;
        job.spec = std::make_unique<work::JobSpecT>();
        return applyCommand(this->state, 1000, std::move(job)).error;
    }

    bool isAt(const std::string &host, const std::string &pathPrefix) const
    {
        return this->state.findJobAt(host, pathPrefix + id) != nullptr;
    }

    static inline const std::string id = "5c0e7a21d94b36f8";
    const Queue first{"a", "jobs.example", "/q/"};
    Workload state;
    std::uint64_t version = 0;
};

} // namespace

// Guards against accepted jobs that can't be found any more, since a configuration has renamed their queue.
TEST_CASE_METHOD(QueueAddressFixture, "acceptedJob_throughAnyConfiguration_isFoundAtItsAddressOnly")
{
    this->configure({this->first, {"b", "jobs.example", "/other/"}});
    REQUIRE(this->submit(this->first) == ErrorCode::None);
    const auto checkAddress = [this] {
        CHECK(this->isAt("Jobs.Example", "/q/"));
        CHECK_FALSE(this->isAt("jobs.example", "/other/"));
        CHECK_FALSE(this->isAt("other.example", "/q/"));
        CHECK_FALSE(this->isAt("jobs.example", ""));
    };
    checkAddress();
    this->configure({{"renamed", "jobs.example", "/q/"}});
    checkAddress();
    this->configure({{"b", "jobs.example", "/q/"}, {"a", "jobs.example", "/other/"}});
    checkAddress();
    // The path selects another queue now, of a longer prefix.
    this->configure({this->first, {"b", "jobs.example", "/q/5c0e"}});
    checkAddress();
    this->state.restore(std::string(this->state.snapshot()));
    checkAddress();
}

// Guards against a job that enters another queue, or none, because the configuration changes between the decision and its log entry.
TEST_CASE_METHOD(QueueAddressFixture, "submission_afterChangeOfQueueNames_entersTheQueueAtItsAddress")
{
    this->configure({{"b", "jobs.example", "/q/"}, {"a", "jobs.example", "/other/"}});
    REQUIRE(this->submit(this->first) == ErrorCode::None);
    CHECK(this->state.findJob(id)->queue().name == "b");
    CHECK(this->submit({"b", "JOBS.example", "/q/"}) == ErrorCode::None);
    CHECK(this->submit({"a", "jobs.example", "/other/"}) == ErrorCode::Conflict);
    CHECK(this->submit({"a", "jobs.example", "/none/"}) == ErrorCode::Conflict);
    CHECK(this->isAt("jobs.example", "/q/"));
}

TEST_CASE_METHOD(QueueAddressFixture, "submission_toRemovedQueue_isRefused")
{
    this->configure({{"a", "jobs.example", "/other/"}});
    CHECK(this->submit(this->first) == ErrorCode::UnknownRoute);
    CHECK(this->state.findJob(id) == nullptr);
}

TEST_CASE_METHOD(IncarnationFixture, "evacuation_withoutADataCentre_isRefused")
{
    CHECK(this->apply(work::ChangeEvacuationT()).error == ErrorCode::InvalidArgument);
    CHECK(this->state.evacuatedDataCentres().empty());
}

} // namespace paddlepier::workload
