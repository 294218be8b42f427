// Processor time of one term's dispatcher at the size of a large installation: 350 workers, 5,000 runs under way and 750 starts a second, in virtual
// time. Only the dispatcher's own calls are timed, not the ledger or the workers.

#include "paddlepier/execution/dispatcher.h"

#include "paddlepier/base/log.h"
#include "paddlepier/execution/fakeworkers.h"
#include "paddlepier/workload/applycommand.h"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

#include <ctime>
#include <deque>
#include <memory>

using namespace paddlepier;
using namespace paddlepier::execution;

namespace
{

constexpr int workerCount = 350;
constexpr std::uint32_t runsUnderWay = 5'000;
/** Jobs of ten tasks: 750 starts a second. */
constexpr std::uint32_t tasksOfJob = 10;
constexpr Duration jobInterval = absl::Microseconds(13'333);
/** The run time at which 750 starts a second keep 5,000 runs under way. */
constexpr std::uint32_t runMillis = 6'667;
/** A step follows every batch of events: about one each millisecond in a large installation. */
constexpr Duration tick = absl::Milliseconds(1);
constexpr Duration answerDelay = absl::Milliseconds(5);
constexpr Duration commitDelay = absl::Milliseconds(5);

/** Processor time of this thread. */
Duration threadTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return absl::DurationFromTimespec(time);
}

class CellSimulation
{
public:
    /** @param startedOf one in this many of the runs placed by the earlier leader has started */
    explicit CellSimulation(std::uint32_t startedOf)
        : workers([this](const workload::TaskKey &key) -> const work::StepSpecT & { return this->state.findJob(key.job)->stepSpec(key.step); })
    {
        log::initialize(log::Level::Error);
        this->configure();
        for (int number = 0; number < workerCount; ++number) {
            this->addWorker(absl::StrCat("worker-", number));
        }
        this->fill(startedOf);
        this->electLeader();
    }

    /** Begins a term, which adopts the runs under way. */
    void electLeader()
    {
        this->answers.clear();
        this->commits.clear();
        this->heldPolls.clear();
        ++this->term;
        this->timed([this] { this->dispatcher = std::make_unique<Dispatcher>(this->state, DispatchOptions(), this->term, this->now); });
    }

    void runFor(Duration time)
    {
        for (const Timestamp end = this->now + time; this->now < end;) {
            this->advance();
        }
    }

    std::size_t starts() const
    {
        return this->workers.starts;
    }

    std::size_t stops = 0;
    Duration spent;
    Duration spentInSteps;
    Duration longestStep;
    std::size_t steps = 0;

private:
    struct Answer {
        Timestamp at;
        std::uint64_t call;
        WorkerAnswer answer;
    };
    struct HeldPoll {
        WorkerCall call;
        Timestamp until;
    };

    template<typename Work>
    Duration timed(const Work &work)
    {
        const Duration before = threadTime();
        work();
        const Duration took = threadTime() - before;
        this->spent += took;
        return took;
    }

    template<typename Table>
    workload::Outcome apply(Table table)
    {
        return workload::applyCommand(this->state, absl::ToUnixMillis(this->now), std::move(table));
    }

    void configure()
    {
        work::ChangeConfigurationT configuration;
        configuration.version = 1;
        auto &queue = configuration.queues.emplace_back(std::make_unique<work::QueueSpecT>());
        queue->name = "quick";
        queue->service = "pool";
        queue->maxAttempts = 3;
        configuration.services.emplace_back(std::make_unique<work::ServiceSpecT>())->name = "pool";
        this->apply(std::move(configuration));
    }

    void addWorker(const std::string &id)
    {
        work::RegisterWorkerT registration;
        registration.id = id;
        registration.service = "pool";
        registration.address = id;
        registration.capacity = std::make_unique<work::Demand>(20'000, 64'000, 0);
        this->workers.workers[id].capacity = 20'000;
        this->apply(std::move(registration));
    }

    std::string addJob()
    {
        work::SubmitJobT command;
        command.id = absl::StrCat(absl::Hex(this->nextJob++, absl::kZeroPad16));
        command.queue = "quick";
        command.spec = std::make_unique<work::JobSpecT>();
        auto &step = command.spec->steps.emplace_back(std::make_unique<work::StepSpecT>());
        step->count = tasksOfJob;
        step->estimatedMillis = runMillis;
        step->demand = std::make_unique<work::Demand>(1000, 100, 0);
        std::string id = command.id;
        this->apply(std::move(command));
        return id;
    }

    /** Places the runs of an earlier leader, spread evenly over the workers and over their run time. */
    void fill(std::uint32_t startedOf)
    {
        int next = 0;
        for (std::uint32_t started = 0; started < runsUnderWay; started += tasksOfJob) {
            const std::string job = this->addJob();
            work::PlaceRunsT command;
            for (std::uint32_t index = 0; index < tasksOfJob; ++index) {
                const workload::TaskKey key(job, 0, 0, index);
                const std::string worker = absl::StrCat("worker-", next++ % workerCount);
                auto &placement = command.placements.emplace_back(std::make_unique<work::PlacementT>());
                placement->task = key.record();
                placement->run = 1;
                placement->worker = worker;
                const Timestamp end = this->now + absl::Milliseconds(runMillis) * (started + index + 1) / runsUnderWay;
                this->workers.workers[worker].leaseEnd = FakeWorkers::clock(this->workers.workers[worker], this->now) + 10'000;
                if ((started + index) % startedOf == 0) {
                    this->workers.workers[worker].runs[key] = {1, end - absl::Milliseconds(runMillis), end, absl::InfiniteFuture(), 1000};
                }
            }
            this->apply(std::move(command));
        }
    }

    void advance()
    {
        this->now += tick;
        this->workers.advance(this->now);
        this->releasePolls();
        this->deliver();
        if (this->now >= this->nextSubmission) {
            this->nextSubmission = std::max(this->now, this->nextSubmission + jobInterval);
            this->addJob();
            this->dispatcher->markChanged();
        }
        DispatchEffects effects;
        const Duration took = this->timed([&] { effects = this->dispatcher->step(this->now, absl::ToUnixMillis(this->now)); });
        this->spentInSteps += took;
        this->longestStep = std::max(this->longestStep, took);
        ++this->steps;
        for (Proposal &proposal : effects.proposals) {
            this->commits.emplace_back(this->now + commitDelay, std::move(proposal));
        }
        for (WorkerCall &call : effects.calls) {
            this->stops += std::holds_alternative<StopOrder>(call.order) ? 1 : 0;
            const auto *poll = std::get_if<PollOrder>(&call.order);
            if (poll != nullptr && poll->wait > absl::ZeroDuration()) {
                this->heldPolls.push_back({std::move(call), this->now + poll->wait});
            } else {
                this->answers.push_back({this->now + answerDelay, call.id, this->workers.execute(this->now, call)});
            }
        }
    }

    /** A worker answers a poll when an end is listed or the poll's wait has elapsed. */
    void releasePolls()
    {
        std::erase_if(this->heldPolls, [this](const HeldPoll &poll) {
            const auto &ended = this->workers.workers[poll.call.worker.id].ended;
            const bool hasNewEnd = !ended.empty() && ended.back().sequence > std::get<PollOrder>(poll.call.order).lastSequence;
            if (hasNewEnd || poll.until <= this->now) {
                this->answers.push_back({this->now + answerDelay, poll.call.id, this->workers.execute(this->now, poll.call)});
                return true;
            }
            return false;
        });
    }

    void deliver()
    {
        while (!this->commits.empty() && this->commits.front().first <= this->now) {
            work::EntryT entry;
            entry.atMillis = absl::ToUnixMillis(this->now);
            entry.command = std::move(this->commits.front().second.command);
            const std::uint64_t id = this->commits.front().second.id;
            this->commits.pop_front();
            const workload::Outcome outcome = this->state.apply(entry);
            this->timed([&] { this->dispatcher->handleOutcome(this->now, id, outcome); });
        }
        while (!this->answers.empty() && this->answers.front().at <= this->now) {
            const Answer answer = std::move(this->answers.front());
            this->answers.pop_front();
            this->timed([&] { this->dispatcher->handleAnswer(this->now, answer.call, answer.answer); });
        }
    }

    workload::Workload state;
    FakeWorkers workers;
    std::unique_ptr<Dispatcher> dispatcher;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    Timestamp nextSubmission = now;
    std::uint64_t term = 0;
    std::uint64_t nextJob = 1;
    std::deque<Answer> answers;
    std::deque<std::pair<Timestamp, Proposal>> commits;
    std::deque<HeldPoll> heldPolls;
};

void setCounters(benchmark::State &state, const CellSimulation &cell, Duration virtualTime)
{
    state.counters["stepMicros"] = absl::ToDoubleMicroseconds(cell.spentInSteps) / static_cast<double>(cell.steps);
    state.counters["longestStepMillis"] = absl::ToDoubleMilliseconds(cell.longestStep);
    state.counters["cycleMicros"] = absl::ToDoubleMicroseconds(cell.spent) / static_cast<double>(std::max<std::size_t>(1, cell.starts()));
    state.counters["starts"] = static_cast<double>(cell.starts());
    state.counters["stops"] = static_cast<double>(cell.stops);
    state.counters["processors"] = absl::FDivDuration(cell.spent, virtualTime);
}

/** Three seconds of steady work: `processors` is the share of a processor that the dispatcher uses. */
void BM_SteadyWork(benchmark::State &state)
{
    constexpr Duration time = absl::Seconds(3);
    for (auto _ : state) {
        CellSimulation cell(1);
        cell.runFor(absl::Seconds(1));
        cell.spent = cell.spentInSteps = cell.longestStep = absl::ZeroDuration();
        cell.steps = 0;
        const std::size_t before = cell.starts();
        cell.runFor(time);
        state.SetIterationTime(absl::ToDoubleSeconds(cell.spent));
        setCounters(state, cell, time);
        state.counters["starts"] = static_cast<double>(cell.starts() - before);
        state.counters["cycleMicros"] = absl::ToDoubleMicroseconds(cell.spent) / static_cast<double>(cell.starts() - before);
    }
}
BENCHMARK(BM_SteadyWork)->UseManualTime()->Iterations(1)->Unit(benchmark::kMillisecond);

/** The first second of a term, where half of the runs of the earlier one were never started. */
void BM_NewLeader(benchmark::State &state)
{
    constexpr Duration time = absl::Seconds(1);
    for (auto _ : state) {
        CellSimulation cell(2);
        cell.runFor(time);
        state.SetIterationTime(absl::ToDoubleSeconds(cell.spent));
        setCounters(state, cell, time);
    }
}
BENCHMARK(BM_NewLeader)->UseManualTime()->Iterations(1)->Unit(benchmark::kMillisecond);

} // namespace
