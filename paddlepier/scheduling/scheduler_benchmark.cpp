// Cost of placement decisions with the index and with a scan of all workers, at several sizes of the cell.

#include "paddlepier/scheduling/scheduler.h"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

#include <random>

using namespace paddlepier;
using namespace paddlepier::scheduling;

namespace
{

constexpr std::size_t batchSize = 256;

/** Partly filled workers and needs of mixed sizes, identical in every run. */
struct Workload {
    explicit Workload(std::size_t workerCount)
        : random(20261202)
    {
        for (std::size_t number = 0; number < workerCount; ++number) {
            const bool hasAccelerators = number % 3 == 0;
            const wire::Resources free(1000 * (1 + this->random() % 16), 1024 * (1 + this->random() % 32), hasAccelerators ? this->random() % 5 : 0);
            this->candidates.push_back({absl::StrCat("worker-", number), absl::StrCat("r", number / 8), free});
        }
        for (std::size_t number = 0; number < batchSize; ++number) {
            this->needs.emplace_back(250 * (1 + this->random() % 8), 256 * (1 + this->random() % 8), this->random() % 12 == 0 ? 1 : 0);
        }
    }

    std::mt19937_64 random;
    std::vector<Candidate> candidates;
    std::vector<wire::Resources> needs;
};

/** Baseline: best fit by a scan of all workers. */
Candidate *scan(std::vector<Candidate> &candidates, const wire::Resources &need)
{
    const auto remainingProcessors = [&need](const Candidate &candidate) { return candidate.free.milliProcessors() - need.milliProcessors(); };
    Candidate *best = nullptr;
    for (Candidate &candidate : candidates) {
        const bool wastesAccelerators = need.accelerators() == 0 && candidate.free.accelerators() > 0;
        if (ledger::fits(need, candidate.free) && !wastesAccelerators && (best == nullptr || remainingProcessors(candidate) < remainingProcessors(*best))) {
            best = &candidate;
        }
    }
    return best;
}

void BM_PlacementNaiveScan(benchmark::State &state)
{
    Workload workload(static_cast<std::size_t>(state.range(0)));
    std::size_t decisions = 0;
    for (auto _ : state) {
        std::vector<std::pair<Candidate *, wire::Resources>> placed;
        for (const wire::Resources &need : workload.needs) {
            Candidate *chosen = scan(workload.candidates, need);
            if (chosen != nullptr) {
                chosen->free = ledger::minus(chosen->free, need);
                placed.emplace_back(chosen, need);
            }
            ++decisions;
        }
        for (const auto &[candidate, need] : placed) {
            candidate->free = ledger::plus(candidate->free, need);
        }
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(decisions));
}
BENCHMARK(BM_PlacementNaiveScan)->Arg(50)->Arg(660)->Arg(5000);

void BM_PlacementDecision(benchmark::State &state)
{
    Workload workload(static_cast<std::size_t>(state.range(0)));
    PlacementIndex index;
    for (const Candidate &candidate : workload.candidates) {
        index.set(candidate.worker, candidate.rack, candidate.free);
    }
    std::size_t decisions = 0;
    for (auto _ : state) {
        std::vector<std::pair<std::string, wire::Resources>> placed;
        for (const wire::Resources &need : workload.needs) {
            const Candidate *chosen = index.bestFit(need);
            if (chosen != nullptr) {
                placed.emplace_back(chosen->worker, need);
                index.reserve(placed.back().first, need);
            }
            ++decisions;
        }
        for (const auto &[worker, need] : placed) {
            index.release(worker, need);
        }
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(decisions));
}
BENCHMARK(BM_PlacementDecision)->Arg(50)->Arg(660)->Arg(5000);

wire::LedgerEntryT entryOf(wire::CommandUnion command)
{
    wire::LedgerEntryT entry;
    entry.atMicros = 1;
    entry.command = std::move(command);
    return entry;
}

template<typename Command>
void applyTo(ledger::Ledger &ledger, Command command)
{
    wire::CommandUnion commandUnion;
    commandUnion.Set(std::move(command));
    ledger.apply(entryOf(std::move(commandUnion)));
}

/** A cell of @p workers workers with @p tasks queued tasks in jobs of 10 tasks; 13,000 tasks for 660 workers are about 20 each. */
ledger::Ledger makeCell(std::int64_t workers, std::int64_t tasks)
{
    ledger::Ledger ledger;
    for (std::int64_t number = 0; number < workers; ++number) {
        wire::RegisterWorkerT command;
        command.worker = absl::StrCat("worker-", number);
        command.partner = "p";
        command.rack = absl::StrCat("r", number / 8);
        command.address = "127.0.0.1:8080";
        command.capacity = wire::Resources(32000, 65536, number % 2 == 0 ? 3 : 0);
        applyTo(ledger, std::move(command));
    }
    for (std::int64_t number = 0; number < tasks / 10; ++number) {
        wire::SubmitJobT command;
        command.partner = number % 2 == 0 ? "one" : "two";
        command.submissionId = absl::StrCat(number);
        command.spec = std::make_unique<wire::JobSpecT>();
        command.spec->name = "profile-rebuild";
        command.spec->command = "rebuild --district 12";
        command.spec->tasks = 10;
        command.spec->kind = number % 5 == 0 ? wire::JobKind::Service : wire::JobKind::Batch;
        command.spec->resources = wire::Resources(500, 512, 0);
        applyTo(ledger, std::move(command));
    }
    return ledger;
}

/** Rounds of the scheduler, with their commands applied, until a queue of the given number of tasks has no placeable task left. */
void BM_SchedulerRounds(benchmark::State &state)
{
    std::size_t placed = 0;
    for (auto _ : state) {
        state.PauseTiming();
        ledger::Ledger ledger = makeCell(660, state.range(0));
        Scheduler scheduler;
        scheduler.rebuild(ledger);
        scheduler.setReachable(ledger, [](const std::string &) { return true; });
        state.ResumeTiming();
        while (std::optional<wire::PlaceTasksT> command = scheduler.decide(ledger, 2)) {
            wire::CommandUnion commandUnion;
            commandUnion.Set(std::move(*command));
            placed += ledger.apply(entryOf(std::move(commandUnion))).placed;
            scheduler.refresh(ledger);
        }
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(placed));
}
BENCHMARK(BM_SchedulerRounds)->Arg(1000)->Arg(13000)->Arg(100000)->Unit(benchmark::kMillisecond);

/** Snapshot and restore of a ledger with the given number of queued tasks; reports the size of the snapshot in bytes. */
void BM_LedgerSnapshot(benchmark::State &state)
{
    const ledger::Ledger ledger = makeCell(660, state.range(0));
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::string snapshot = ledger.snapshot();
        ledger::Ledger restored;
        restored.restore(snapshot);
        bytes = snapshot.size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BM_LedgerSnapshot)->Arg(1000)->Arg(13000)->Arg(100000)->Unit(benchmark::kMillisecond);

/** Mass cancellation, as when an event is called off: 10,000 tasks in 1,000 jobs, with one command for each job. */
void BM_WaveOfCancels(benchmark::State &state)
{
    for (auto _ : state) {
        state.PauseTiming();
        ledger::Ledger ledger = makeCell(660, state.range(0));
        state.ResumeTiming();
        for (std::uint64_t job = 1; job <= static_cast<std::uint64_t>(state.range(0) / 10); ++job) {
            wire::CancelJobT command;
            command.job = job;
            applyTo(ledger, command);
        }
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(BM_WaveOfCancels)->Arg(10000)->Unit(benchmark::kMillisecond);

} // namespace
