// Teams of a workload: keys identify their team, and no placement exceeds a team's quota.

#include "paddlepier/base/error.h"
#include "paddlepier/workload/applycommand.h"
#include "paddlepier/workload/configurationcheck.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

namespace paddlepier::workload
{

namespace
{

class TeamsFixture
{
public:
    TeamsFixture()
    {
        for (const char *id : {"w1", "w2"}) {
            work::RegisterWorkerT registration;
            registration.id = id;
            registration.capacity = std::make_unique<work::Demand>(8000, 80'000, 8);
            this->apply(std::move(registration));
        }
        this->configure({{"red", {"key-r"}, {3000, 0, 0}}, {"blue", {"key-b1", "key-b2"}, {0, 0, 0}}});
    }

    struct TeamOf {
        std::string name;
        std::vector<std::string> keys;
        work::Quota quota;
    };

    static work::ChangeConfigurationT configurationOf(const std::vector<TeamOf> &teams, std::uint64_t version)
    {
        work::ChangeConfigurationT configuration;
        configuration.version = version;
        configuration.queues.emplace_back(std::make_unique<work::QueueSpecT>())->name = "quick";
        for (const TeamOf &team : teams) {
            auto &spec = configuration.teams.emplace_back(std::make_unique<work::TeamSpecT>());
            spec->name = team.name;
            spec->keys = team.keys;
            spec->weight = 2;
            spec->quota = std::make_unique<work::Quota>(team.quota);
        }
        return configuration;
    }

    void configure(const std::vector<TeamOf> &teams)
    {
        this->apply(configurationOf(teams, ++this->version));
    }

    template<typename Table>
    Outcome apply(Table table)
    {
        return applyCommand(this->state, 1000, std::move(table));
    }

    void submit(const std::string &id, const std::string &team, std::uint32_t tasks, bool isGang = false, bool isFilling = false)
    {
        work::SubmitJobT job;
        job.id = id;
        job.queue = "quick";
        job.team = team;
        job.spec = std::make_unique<work::JobSpecT>();
        auto &step = job.spec->steps.emplace_back(std::make_unique<work::StepSpecT>());
        step->count = tasks;
        step->isGang = isGang;
        step->isFilling = isFilling;
        step->mayRunCopies = !isGang;
        step->demand = std::make_unique<work::Demand>(1000, 100, 1);
        this->apply(std::move(job));
    }

    /** Proposes the next run of @p tasks tasks from index @p first on. @return the number of accepted placements */
    std::size_t place(const std::string &job, std::uint32_t tasks, const std::string &worker = "w1", std::uint32_t first = 0)
    {
        work::PlaceRunsT command;
        for (std::uint32_t index = first; index < first + tasks; ++index) {
            const TaskKey key{job, 0, 0, index};
            auto &placement = command.placements.emplace_back(std::make_unique<work::PlacementT>());
            placement->task = key.record();
            placement->run = this->state.findJob(job)->nextRun(key);
            placement->worker = worker;
        }
        return this->apply(std::move(command)).placed.size();
    }

    void end(const std::string &job, std::uint32_t index, work::RunEndKind kind, const std::string &worker = "w1")
    {
        const TaskKey key{job, 0, 0, index};
        work::RecordEndsT command;
        command.worker = worker;
        auto &run = command.ends.emplace_back(std::make_unique<work::RunEndT>());
        run->task = key.record();
        run->run = this->state.findJob(job)->task(key).lastRun;
        run->kind = kind;
        this->apply(std::move(command));
    }

    std::uint64_t used(const std::string &team) const
    {
        return this->state.teams().usageOf(team).milliProcessors();
    }

    Workload state;
    std::uint64_t version = 0;
};

/** Processors used by the runs and superseded runs of all workers, by team. */
std::map<std::string, std::uint64_t> recountedUsage(const Workload &state)
{
    std::map<std::string, std::uint64_t> counted;
    for (const auto &[incarnation, worker] : state.workers()) {
        for (const TaskKey &key : worker.runs) {
            const Job &job = *state.findJob(key.job);
            counted[job.team()] += job.stepSpec(key.step).demand->milliProcessors();
        }
        for (const auto &[key, run] : worker.superseded) {
            counted[run.team] += run.quotaDemand.milliProcessors();
        }
    }
    return counted;
}

} // namespace

TEST_CASE_METHOD(TeamsFixture, "placement_exceedingTeamQuota_isRefused")
{
    this->submit("a", "red", 5);
    CHECK(this->place("a", 5) == 3);
    CHECK(this->used("red") == 3000);
    this->submit("b", "red", 1);
    CHECK(this->place("b", 1, "w2") == 0);
    this->submit("c", "blue", 5);
    CHECK(this->place("c", 5) == 5);
    this->submit("d", "", 3);
    CHECK(this->place("d", 3, "w2") == 3);
    this->end("a", 0, work::RunEndKind::Done);
    CHECK(this->place("b", 1, "w2") == 1);
}

TEST_CASE_METHOD(TeamsFixture, "gang_exceedingTeamQuota_isRefusedCompletely")
{
    this->submit("a", "red", 4, true);
    CHECK(this->place("a", 4) == 0);
    CHECK(this->used("red") == 0);
    this->submit("b", "red", 3, true);
    CHECK(this->place("b", 3) == 3);
}

TEST_CASE_METHOD(TeamsFixture, "fillingTask_whenPlaced_countsItsProcessorsTowardsQuota")
{
    this->submit("a", "red", 5, false, true);
    CHECK(this->place("a", 5) == 3);
    CHECK(this->state.findWorker({"w1"})->reservedMilliProcessors == 0);
}

TEST_CASE_METHOD(TeamsFixture, "quota_loweredBelowUsage_refusesPlacementsUntilEnoughRunsEnd")
{
    this->submit("a", "red", 4);
    REQUIRE(this->place("a", 3) == 3);
    this->configure({{"red", {"key-r"}, {2000, 0, 0}}});
    CHECK(this->state.teams().headroomOf("red").isExceeded());
    this->end("a", 0, work::RunEndKind::Done);
    CHECK_FALSE(this->state.teams().headroomOf("red").isExceeded());
    CHECK(this->place("a", 1, "w1", 3) == 0);
    this->end("a", 1, work::RunEndKind::Done);
    CHECK(this->place("a", 1, "w1", 3) == 1);
}

TEST_CASE_METHOD(TeamsFixture, "supersededRun_withUnconfirmedEnd_countsTowardsQuota")
{
    this->submit("a", "red", 4);
    REQUIRE(this->place("a", 3) == 3);
    this->end("a", 0, work::RunEndKind::Superseded);
    CHECK(this->used("red") == 3000);
    CHECK(this->place("a", 1, "w2") == 0);
    SECTION("worker lost")
    {
        work::RemoveWorkerT command;
        command.id = "w1";
        command.end = work::LifeEnd::Crashed;
        this->apply(std::move(command));
        CHECK(this->used("red") == 0);
        CHECK(this->place("a", 3, "w2") == 3);
    }
    SECTION("restored from a snapshot")
    {
        Workload again;
        again.restore(this->state.snapshot());
        CHECK(again.teams().usageOf("red").milliProcessors() == this->used("red"));
        CHECK(again.findJob("a")->team() == "red");
        CHECK_FALSE(again.teams().headroomOf("red").fits(again.findJob("a")->stepSpec(0)));
    }
}

TEST_CASE_METHOD(TeamsFixture, "team_removedFromConfiguration_keepsItsJobsWithoutLimit")
{
    this->submit("a", "red", 5);
    REQUIRE(this->place("a", 3) == 3);
    this->configure({});
    CHECK(this->place("a", 2, "w1", 3) == 2);
    CHECK(this->state.teams().findByKey("key-r") == nullptr);
    this->configure({{"red", {"key-r"}, {3000, 0, 0}}});
    CHECK(this->state.teams().headroomOf("red").isExceeded());
}

TEST_CASE_METHOD(TeamsFixture, "key_movedToAnotherTeam_identifiesOnlyThatTeam")
{
    REQUIRE(*this->state.teams().findByKey("key-b2") == "blue");
    this->configure({{"red", {"key-r", "key-b2"}, {}}, {"blue", {"key-b1"}, {}}});
    CHECK(*this->state.teams().findByKey("key-b2") == "red");
    CHECK(this->state.teams().findByKey("") == nullptr);
    CHECK(this->state.teams().findByKey("key-") == nullptr);
    Workload again;
    again.restore(this->state.snapshot());
    CHECK(*again.teams().findByKey("key-b2") == "red");
}

TEST_CASE_METHOD(TeamsFixture, "configuration_withInconsistentTeams_isRefusedWithoutNamingAKey")
{
    const std::vector<std::vector<TeamOf>> invalidTeams{{{"red", {"secret"}, {}}, {"blue", {"secret"}, {}}},
                                                        {{"red", {"secret", "secret"}, {}}},
                                                        {{"red", {"secret", ""}, {}}},
                                                        {{"", {"secret"}, {}}},
                                                        {{"red", {"secret"}, {}}, {"red", {"other"}, {}}}};
    for (const std::vector<TeamOf> &teams : invalidTeams) {
        work::ChangeConfigurationT configuration = configurationOf(teams, 9);
        configuration.queues.clear();
        try {
            checkConfiguration(configuration);
            FAIL("accepted");
        } catch (const InvalidArgumentError &error) {
            CHECK(std::string(error.what()).find("secret") == std::string::npos);
        }
    }
}

TEST_CASE("quotaUsage_afterAnyCommands_matchesActiveRuns", "[proof][fuzz]")
{
    const bool holds = rc::check("the usage of a team equals that of its runs, and placements stay within its quota", [] {
        TeamsFixture fixture;
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        std::vector<std::string> jobs;
        std::uint64_t quota = 3000;
        for (int event = 0; event < 60; ++event) {
            const std::uint32_t kind = random() % 6;
            const std::string worker = random() % 2 == 0 ? "w1" : "w2";
            if (kind == 0 || jobs.empty()) {
                jobs.push_back(absl::StrCat("job", event));
                fixture.submit(jobs.back(), random() % 3 == 0 ? "blue" : "red", 1 + random() % 5, random() % 4 == 0);
                continue;
            }
            const std::string &job = jobs[random() % jobs.size()];
            const auto tasks = static_cast<std::uint32_t>(fixture.state.findJob(job)->occurrences()[0].steps[0].tasks.size());
            const std::uint64_t before = fixture.used("red");
            if (kind < 3) {
                fixture.place(job, tasks, worker);
                RC_ASSERT(fixture.used("red") <= std::max(before, quota));
            } else if (kind == 3) {
                const work::RunEndKind ends[]{work::RunEndKind::Done, work::RunEndKind::Superseded, work::RunEndKind::Failed, work::RunEndKind::Void};
                fixture.end(job, random() % tasks, ends[random() % 4], worker);
            } else if (kind == 4) {
                quota = 1000 * (1 + random() % 5);
                fixture.configure({{"red", {"key-r"}, {quota, 0, 0}}});
            } else {
                Workload again;
                again.restore(fixture.state.snapshot());
                RC_ASSERT(again.teams().usageOf("red").milliProcessors() == fixture.used("red"));
            }
            const std::map<std::string, std::uint64_t> counted = recountedUsage(fixture.state);
            for (const char *team : {"red", "blue"}) {
                RC_ASSERT(fixture.used(team) == (counted.contains(team) ? counted.at(team) : 0));
            }
        }
    });
    CHECK(holds);
}

} // namespace paddlepier::workload
