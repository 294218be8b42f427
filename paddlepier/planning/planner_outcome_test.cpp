// Plans of many generated cells: their recorded decisions, and the rules that every plan must keep.

#include "paddlepier/planning/fakecell.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace paddlepier::planning
{

namespace
{

class OutcomeFixture
{
public:
    static constexpr int rounds = 4;

    /** Plans a cell whose size depends on the seed several times, and passes each plan to @p visit before it is executed. */
    template<typename Visit>
    static void play(std::uint32_t seed, Visit visit)
    {
        const std::uint32_t workers = 5 + (seed * 7) % 60 + (seed % 10 == 0 ? 290 : 0);
        FakeCell cell(seed, workers);
        const std::size_t runsPerWorker = seed % 3 == 0 ? 14 : 9;
        cell.fill(workers * runsPerWorker);
        cell.addWaitingSteps(5 + seed % 40);
        for (int round = 0; round < rounds; ++round) {
            const Plan plan = cell.plan();
            visit(cell, plan);
            cell.execute(plan);
            cell.advance(absl::Milliseconds(30));
            cell.endRuns(0.05);
        }
    }

    static std::string textOf(const Plan &plan)
    {
        std::string text;
        for (const work::PlacementT &placement : plan.placements) {
            absl::StrAppend(&text, "p", workload::TaskKey(*placement.task).text(), " ", placement.run, " ", placement.worker, "\n");
        }
        for (const execution::AdviceRequest &request : plan.adviceRequests) {
            absl::StrAppend(&text, "q", request.step.text(), "\n");
            for (const workload::Incarnation &worker : request.workers) {
                absl::StrAppend(&text, worker.id);
            }
        }
        for (const auto &[key, servedStep] : plan.preemptions) {
            absl::StrAppend(&text, "x", key.text(), "\n");
        }
        return text;
    }

    /** 64-bit FNV-1a, which doesn't depend on the standard library's hash. */
    static std::uint64_t digestOf(const std::string &text)
    {
        std::uint64_t digest = 0xcbf29ce484222325ULL;
        for (const char letter : text) {
            digest = (digest ^ static_cast<unsigned char>(letter)) * 0x100000001b3ULL;
        }
        return digest;
    }

    static void checkPlacement(const FakeCell &cell, const work::PlacementT &placement)
    {
        const workload::TaskKey key(*placement.task);
        const workload::Job &job = *cell.state.findJob(key.job);
        const workload::Worker &worker = *cell.state.findWorker(workload::incarnationOf(placement));
        const work::StepSpecT &step = job.stepSpec(key.step);
        CHECK(job.mayPlace(key, placement.run));
        CHECK_FALSE(worker.registration.isDraining);
        CHECK_FALSE(worker.superseded.contains(key));
        CHECK(worker.registration.service == job.queue().service);
        CHECK((step.requiredLabel.empty() || worker.hasLabel(step.requiredLabel)));
        CHECK((!job.queue().advice || cell.advice.validTicket(cell.now, key.stepKey(), workload::incarnationOf(placement)) != nullptr));
    }

    /** Number of runs of a step on a worker, including superseded ones. */
    static std::uint32_t runsOfStep(const workload::Worker &worker, const workload::StepKey &step)
    {
        const auto isOfStep = [&step](const workload::TaskKey &key) { return key.stepKey() == step; };
        const auto current = std::count_if(worker.runs.begin(), worker.runs.end(), isOfStep);
        const auto superseded = std::count_if(worker.superseded.begin(), worker.superseded.end(), [&](const auto &entry) { return isOfStep(entry.first); });
        return static_cast<std::uint32_t>(current + superseded);
    }

    static void checkBounds(const FakeCell &cell, const Plan &plan)
    {
        std::map<workload::StepKey, std::uint32_t> tasks;
        std::map<std::pair<workload::StepKey, std::string>, std::uint32_t> onWorker;
        std::map<std::string, std::uint64_t> processors;
        std::map<std::string, std::uint64_t> memory;
        for (const work::PlacementT &placement : plan.placements) {
            const workload::TaskKey key(*placement.task);
            const work::StepSpecT &step = cell.state.findJob(key.job)->stepSpec(key.step);
            ++tasks[key.stepKey()];
            ++onWorker[{key.stepKey(), placement.worker}];
            processors[placement.worker] += step.isFilling ? 0 : step.demand->milliProcessors();
            memory[placement.worker] += step.demand->memoryMegabytes();
        }
        for (const auto &[step, count] : tasks) {
            const workload::Job &job = *cell.state.findJob(step.job);
            CHECK((!job.stepSpec(step.step).isGang || count == job.stepSpec(step.step).count));
        }
        for (const auto &[place, count] : onWorker) {
            const std::uint32_t limit = cell.state.findJob(place.first.job)->stepSpec(place.first.step).mostPerWorker;
            CHECK((limit == 0 || count + runsOfStep(*cell.state.findWorker({place.second}), place.first) <= limit));
        }
        for (const auto &[id, reserved] : processors) {
            const workload::Worker &worker = *cell.state.findWorker({id});
            CHECK(static_cast<std::int64_t>(reserved) <= std::max<std::int64_t>(0, worker.freeMilliProcessors()));
            CHECK(memory[id] + worker.reservedMemoryMegabytes <= worker.registration.capacity->memoryMegabytes());
        }
    }

    /** Compares the counters that the workload maintains with those of a full scan. */
    static void checkCounts(const workload::Workload &state)
    {
        std::size_t waitingJobs = 0;
        for (const std::string &id : state.activeJobs()) {
            const workload::Job &job = *state.findJob(id);
            std::uint32_t waiting = 0;
            for (const workload::Occurrence &occurrence : job.occurrences()) {
                for (const workload::Step &step : occurrence.steps) {
                    const auto isWaiting = [](const workload::Task &task) { return !task.isDone && !task.hasRun(); };
                    CHECK(step.waitingTasks == std::count_if(step.tasks.begin(), step.tasks.end(), isWaiting));
                    waiting += step.waitingTasks;
                }
            }
            CHECK(job.waitingTasks() == waiting);
            CHECK(state.waitingJobs().contains(id) == (waiting > 0 && !job.hasEnded()));
            waitingJobs += state.waitingJobs().contains(id) ? 1 : 0;
        }
        CHECK(state.waitingJobs().size() == waitingJobs);
        for (const auto &[id, worker] : state.workers()) {
            const std::set<workload::TaskKey> &runs = worker.runs;
            const auto countOf = [&state, &runs](auto predicate) {
                return std::count_if(runs.begin(), runs.end(), [&](const auto &key) { return predicate(state.findJob(key.job)->stepSpec(key.step)); });
            };
            CHECK(worker.servingRuns == countOf([](const work::StepSpecT &step) { return step.targetLatencyMillis > 0; }));
            CHECK(worker.fillingRuns == countOf([](const work::StepSpecT &step) { return step.isFilling; }));
        }
    }

    static void checkPreempted(const FakeCell &cell, const Preemption &entry)
    {
        const workload::TaskKey &key = entry.run;
        const workload::Job &job = *cell.state.findJob(key.job);
        const work::StepSpecT &step = job.stepSpec(key.step);
        CHECK(cell.tracks.at(key).phase == execution::RunPhase::Running);
        CHECK(job.queue().priority > cell.state.findJob(entry.servedStep.job)->queue().priority);
        CHECK((step.isCheckpointing && !step.isGang && !step.isLasting && !step.isFilling));
    }
};

} // namespace

// Guards against unintended changes of decisions. A change that is meant to alter decisions records new digests.
TEST_CASE_METHOD(OutcomeFixture, "plans_ofGeneratedCells_matchRecordedDigests")
{
    constexpr std::array<std::uint64_t, 24> recorded{
        0x3736609d9ff7fb6eULL, 0x3bc78cae86b372f2ULL, 0xd3e936dd54587d18ULL, 0xadd384219be74e8aULL, 0x2cf3b17e86c351c2ULL, 0xfec32843de74659eULL,
        0x3bcbf0114091f608ULL, 0x1b7dade2451bbcc7ULL, 0x49ddeaee6db21acaULL, 0x122a94297037fca2ULL, 0x6c3bf2a6f2cacd95ULL, 0x7b7ef0e0cb761a8cULL,
        0xf61dc6b65873b8d7ULL, 0xc304970290402c16ULL, 0x309eda2afa8110ddULL, 0x19bfb3c4976f0a26ULL, 0x8aa661a7944ecd4ULL,  0xf18a0aaf76df59bULL,
        0x343e1ed6b334a42ULL,  0x101dc0398ab6fd46ULL, 0x7cd93504fc1a71d5ULL, 0x1cdbfd7b9c113a8fULL, 0xe71527cfa379d6bbULL, 0x47715fce9f93d5cULL};
    for (std::uint32_t seed = 0; seed < recorded.size(); ++seed) {
        std::string text;
        play(seed, [&text](const FakeCell &, const Plan &plan) { absl::StrAppend(&text, textOf(plan), "-\n"); });
        INFO("seed " << seed);
        CHECK(digestOf(text) == recorded.at(seed));
    }
}

TEST_CASE_METHOD(OutcomeFixture, "plans_ofGeneratedCells_keepTheInvariants")
{
    constexpr std::uint32_t seeds = 120;
    std::size_t placed = 0;
    std::size_t preempted = 0;
    for (std::uint32_t seed = 1000; seed < 1000 + seeds; ++seed) {
        INFO("seed " << seed);
        play(seed, [&](const FakeCell &cell, const Plan &plan) {
            std::for_each(plan.placements.begin(), plan.placements.end(), [&cell](const work::PlacementT &placement) { checkPlacement(cell, placement); });
            std::for_each(plan.preemptions.begin(), plan.preemptions.end(), [&cell](const Preemption &entry) { checkPreempted(cell, entry); });
            checkBounds(cell, plan);
            placed += plan.placements.size();
            preempted += plan.preemptions.size();
        });
    }
    // The cells must produce enough decisions for the checks to be meaningful.
    CHECK(placed > 1000);
    CHECK(preempted > 100);
}

TEST_CASE_METHOD(OutcomeFixture, "workloadCounters_afterPlacementsAndEnds_equalThoseOfAScan")
{
    for (std::uint32_t seed = 500; seed < 510; ++seed) {
        INFO("seed " << seed);
        play(seed, [](const FakeCell &cell, const Plan &) {
            checkCounts(cell.state);
            workload::Workload restored;
            restored.restore(cell.state.snapshot());
            checkCounts(restored);
            CHECK(restored.waitingJobs() == cell.state.waitingJobs());
        });
    }
}

} // namespace paddlepier::planning
