// Benchmarks of single plans at the size of a grown cell (350 workers, some 4,000 current runs, 100 waiting steps) and of larger ones, of
// replays, and of the workload's snapshots.

#include "paddlepier/planning/fakecell.h"
#include "paddlepier/planning/loadreplay.h"

#include <benchmark/benchmark.h>

#include <set>
#include <string>
#include <utility>

using namespace paddlepier;
using namespace paddlepier::planning;

namespace
{

constexpr std::uint64_t seed = 20261202;
constexpr std::uint32_t workers = 350;
constexpr std::size_t runs = 4000;
constexpr std::size_t steps = 100;

/** A new planner decides everything from scratch, including preemptions; earlier advice requests are pending. */
void BM_PlanWithWaitingSteps(benchmark::State &state)
{
    const auto workerCount = static_cast<std::uint32_t>(state.range(0));
    FakeCell cell(seed, workerCount);
    cell.fill(runs * workerCount / workers);
    cell.addWaitingSteps(steps);
    benchmark::DoNotOptimize(cell.plan());
    std::size_t placements = 0;
    for (auto _ : state) {
        Planner planner(cell.state, cell.views, cell.tracks, cell.taskBackoff, cell.advice, cell.typicalRatios);
        placements += planner.plan(cell.now, cell.wallMillis).placements.size();
    }
    state.counters["placements"] = benchmark::Counter(static_cast<double>(placements), benchmark::Counter::kAvgIterations);
    state.counters["runs"] = static_cast<double>(cell.tracks.size());
}
BENCHMARK(BM_PlanWithWaitingSteps)->Arg(workers)->Arg(1100)->Arg(3300);

/** Plans in quick succession without a change in between, after everything possible was placed. */
void BM_PlanWithoutNews(benchmark::State &state)
{
    FakeCell cell(seed, workers);
    cell.fill(runs);
    cell.addWaitingSteps(steps);
    for (int round = 0; round < 3; ++round) {
        const Plan plan = cell.plan();
        cell.execute({plan.placements, {}, plan.preemptions});
    }
    std::size_t decisions = 0;
    for (auto _ : state) {
        const Plan plan = cell.plan();
        decisions += plan.placements.size() + plan.adviceRequests.size();
    }
    state.counters["decisions"] = benchmark::Counter(static_cast<double>(decisions), benchmark::Counter::kAvgIterations);
}
BENCHMARK(BM_PlanWithoutNews);

/** All steps need advice and have a pending request; none has a ticket. */
void BM_PlanWhileAnswersAreAwaited(benchmark::State &state)
{
    FakeCell cell(seed, workers);
    cell.fill(runs);
    cell.addWaitingSteps(steps);
    const std::set<std::string> waiting = cell.state.waitingJobs();
    for (const std::string &id : waiting) {
        if (!cell.state.findJob(id)->queue().advice) {
            work::CancelJobT command;
            command.id = id;
            cell.apply(std::move(command));
        }
    }
    cell.advance(absl::Seconds(2));
    std::size_t requests = 0;
    for (int round = 0; round < 3; ++round) {
        requests += cell.plan().adviceRequests.size();
    }
    std::size_t decisions = 0;
    for (auto _ : state) {
        const Plan plan = cell.plan();
        decisions += plan.placements.size() + plan.adviceRequests.size();
    }
    state.counters["asked"] = static_cast<double>(requests);
    state.counters["waiting"] = static_cast<double>(cell.state.waitingJobs().size());
    state.counters["decisions"] = benchmark::Counter(static_cast<double>(decisions), benchmark::Counter::kAvgIterations);
}
BENCHMARK(BM_PlanWhileAnswersAreAwaited);

/** A full cell with a backlog, and a policy service that answers some requests of each plan: a plan after the end of one run. */
void BM_PlanAfterOneChange(benchmark::State &state)
{
    const PlanBudget budget{{2, absl::Milliseconds(100)}};
    const auto workerCount = static_cast<std::uint32_t>(state.range(0));
    const auto waitingTasks = static_cast<std::uint64_t>(state.range(1));
    FakeCell cell(seed, workerCount);
    cell.fill(std::size_t{14} * workerCount);
    std::uint64_t waiting = 0;
    while (waiting < waitingTasks) {
        cell.addWaitingSteps(steps);
        waiting = 0;
        for (const std::string &id : cell.state.waitingJobs()) {
            waiting += cell.state.findJob(id)->waitingTasks();
        }
    }
    const auto planOnce = [&] { return cell.planner.plan(cell.now, cell.wallMillis, budget); };
    for (int round = 0; round < 20; ++round) {
        cell.execute(planOnce());
        cell.answerAll();
        cell.advance(absl::Milliseconds(20));
    }
    std::size_t placements = 0;
    for (auto _ : state) {
        state.PauseTiming();
        const auto run = cell.tracks.begin();
        const workload::TaskKey key = run->first;
        const execution::RunTrack track = run->second;
        cell.endRun(key, track, work::RunEndKind::Done);
        cell.advance(absl::Milliseconds(6));
        state.ResumeTiming();
        const Plan plan = planOnce();
        state.PauseTiming();
        placements += plan.placements.size();
        cell.execute(plan);
        cell.answerAll();
        state.ResumeTiming();
    }
    const auto average = [](double sum) { return benchmark::Counter(sum, benchmark::Counter::kAvgIterations); };
    state.counters["placements"] = average(static_cast<double>(placements));
    state.counters["waiting"] = static_cast<double>(waiting);
    state.counters["steps"] = average(static_cast<double>(cell.planner.work().stepsPlanned));
    state.counters["open"] = average(static_cast<double>(cell.planner.work().stepsExamined));
    state.counters["rooms"] = average(static_cast<double>(cell.planner.work().workersRead));
    state.counters["jobs"] = average(static_cast<double>(cell.planner.work().jobsReordered));
}
BENCHMARK(BM_PlanAfterOneChange)
    ->Args({350, 100})
    ->Args({350, 2000})
    ->Args({350, 20'000})
    ->Args({350, 100'000})
    ->Args({1100, 20'000})
    ->Args({6000, 1000})
    ->Args({6000, 20'000})
    ->Args({12'000, 100'000})
    ->Iterations(200)
    ->Unit(benchmark::kMicrosecond);

/** A minute of wide tasks beside small ones, at the given percentage of the pattern's load: waits and shares in time. */
void BM_WideTasksReplay(benchmark::State &state)
{
    double wide = 0;
    double small = 0;
    double inUse = 0;
    Duration median;
    Duration tail;
    std::uint64_t replays = 0;
    for (auto _ : state) {
        LoadReplay replay(++replays, wideTasksPattern(static_cast<double>(state.range(0)) / 100));
        replay.run(absl::Minutes(1));
        wide += replay.inTimeShare("wide");
        small += replay.inTimeShare("small");
        inUse += replay.acceleratorsInUse();
        median += replay.wait("wide", 0.5);
        tail += replay.wait("wide", 0.95);
    }
    const auto runs = static_cast<double>(replays);
    state.counters["wideInTime"] = wide / runs;
    state.counters["smallInTime"] = small / runs;
    state.counters["acceleratorsInUse"] = inUse / runs;
    state.counters["wideWaitP50Millis"] = absl::ToDoubleMilliseconds(median) / runs;
    state.counters["wideWaitP95Millis"] = absl::ToDoubleMilliseconds(tail) / runs;
}
BENCHMARK(BM_WideTasksReplay)->Arg(100)->Arg(120)->Arg(140)->Iterations(8)->Unit(benchmark::kMillisecond);

/** Twenty seconds at the given percentage of the pattern's load: planning time and goodput. */
void BM_BacklogReplay(benchmark::State &state)
{
    double goodput = 0;
    for (auto _ : state) {
        LoadReplay replay(seed, backlogPattern(static_cast<double>(state.range(0)) / 100));
        replay.run(absl::Seconds(20));
        goodput += replay.goodput();
    }
    state.counters["goodput"] = benchmark::Counter(goodput, benchmark::Counter::kAvgIterations);
}
BENCHMARK(BM_BacklogReplay)->Arg(50)->Arg(100)->Arg(200)->Arg(400)->Iterations(1)->Unit(benchmark::kMillisecond);

/** A minute of batch jobs beside quick ones in a cell of the given number of workers, at 1.3 times its capacity: shares in time of the batch jobs. */
void BM_BatchBacklogReplay(benchmark::State &state)
{
    const double scale = static_cast<double>(state.range(0)) / workers;
    double inTime = 0;
    double goodput = 0;
    std::uint64_t replays = 0;
    for (auto _ : state) {
        LoadPattern pattern = batchBacklogPattern(1.3);
        pattern.workers = static_cast<std::uint32_t>(state.range(0));
        pattern.adviceInstances = static_cast<std::size_t>(static_cast<double>(pattern.adviceInstances) * scale);
        for (LoadKind &kind : pattern.kinds) {
            kind.jobsPerSecond *= scale;
        }
        LoadReplay replay(++replays, pattern);
        replay.run(absl::Minutes(1));
        // Those submitted while the backlog lasts, and early enough to end.
        inTime += replay.inTimeShare("batch", absl::Seconds(15), absl::Seconds(47));
        goodput += replay.goodput();
    }
    state.counters["inTime"] = inTime / static_cast<double>(replays);
    state.counters["goodput"] = goodput / static_cast<double>(replays);
}
BENCHMARK(BM_BatchBacklogReplay)->Arg(120)->Arg(350)->Iterations(3)->Unit(benchmark::kMillisecond);

/** A cell with current runs, 1,000 waiting jobs, and the given number of ended jobs that are still retained. */
class SnapshotCell : public FakeCell
{
public:
    explicit SnapshotCell(std::size_t endedJobs)
        : FakeCell(seed, workers)
    {
        std::size_t ended = 0;
        while (ended < endedJobs) {
            this->fill(runs);
            ended += this->endAll();
        }
        this->fill(runs);
        this->addWaitingSteps(10 * steps);
    }

private:
    /** Lets the jobs progress for a while and cancels the rest. @return number of jobs that have ended */
    std::size_t endAll()
    {
        constexpr int rounds = 6;
        const std::set<std::string> jobs = this->state.activeJobs();
        for (int round = 0; round < rounds; ++round) {
            this->endRuns(1.0);
            this->execute(this->plan());
        }
        for (const std::string &id : jobs) {
            work::CancelJobT command;
            command.id = id;
            this->apply(std::move(command));
        }
        this->endRuns(1.0);
        return jobs.size();
    }
};

/** The snapshot that a leader makes at each compaction of its log. */
void BM_WorkloadSnapshot(benchmark::State &state)
{
    SnapshotCell cell(static_cast<std::size_t>(state.range(0)));
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = cell.state.snapshot().size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BM_WorkloadSnapshot)->Arg(0)->Arg(1400)->Arg(6000)->Unit(benchmark::kMillisecond);

void BM_WorkloadRestore(benchmark::State &state)
{
    SnapshotCell cell(static_cast<std::size_t>(state.range(0)));
    const std::string snapshot = cell.state.snapshot();
    workload::Workload restored;
    for (auto _ : state) {
        restored.restore(snapshot);
    }
}
BENCHMARK(BM_WorkloadRestore)->Arg(0)->Arg(1400)->Arg(6000)->Unit(benchmark::kMillisecond);

/** The end of a run and the placement of the next, without the time to encode and send the commands. */
void BM_WorkloadEndAndPlace(benchmark::State &state)
{
    FakeCell cell(seed, workers);
    cell.fill(runs);
    const workload::TaskKey key = cell.tracks.begin()->first;
    execution::RunTrack track = cell.tracks.begin()->second;
    for (auto _ : state) {
        cell.endRun(key, track, work::RunEndKind::Stopped);
        work::PlaceRunsT command;
        auto &placement = command.placements.emplace_back(std::make_unique<work::PlacementT>());
        placement->task = key.record();
        placement->run = ++track.run;
        placement->worker = track.worker.id;
        cell.apply(std::move(command));
    }
}
BENCHMARK(BM_WorkloadEndAndPlace);

} // namespace
