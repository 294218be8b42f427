// A cell of workers with current runs and waiting steps, generated from a seed, for tests and benchmarks of the planner.
//
// It has queues of each kind: quick work that needs advice and may preempt, long work with checkpoints that needs advice,
// lasting and filling work, and work that needs no advice. Some workers fail, drain or answer late; some steps are gangs, have a limit
// per worker, require a label, prefer a rack, or have superseded runs. The same seed gives the same cell.
//
// Example:
//     FakeCell cell(seed, 350);
//     cell.fill(4000);
//     cell.addWaitingSteps(100);
//     const Plan plan = cell.plan();
//
// Thread safety: none.

#ifndef PADDLEPIER_PLANNING_FAKECELL_H
#define PADDLEPIER_PLANNING_FAKECELL_H

#include "paddlepier/planning/planner.h"
#include "paddlepier/workload/applycommand.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace paddlepier::planning
{

class FakeCell
{
public:
    FakeCell(std::uint64_t seed, std::uint32_t workerCount)
        : random(seed)
        , planner(this->state, this->views, this->tracks, this->taskBackoff, this->advice, this->typicalRatios)
    {
        this->configure();
        for (std::uint32_t number = 0; number < workerCount; ++number) {
            this->addWorker(number);
        }
        this->typicalRatios["long"] = 1.4;
    }

    /** Submits jobs and places their tasks on random workers with free capacity until @p runs are placed or attempts are used up. */
    void fill(std::size_t runs)
    {
        std::size_t placed = 0;
        for (std::size_t tries = 0; placed < runs && tries < runs; ++tries) {
            const std::string id = this->submit(this->chance(0.3) ? "quick" : this->randomQueue(), false);
            placed += this->placeRandomly(id, this->chance(0.98) ? 1.0 : 0.6);
        }
    }

    /** Adds jobs with steps to place; of those that need advice, some have tickets and some have a pending request. */
    void addWaitingSteps(std::size_t steps)
    {
        for (std::size_t number = 0; number < steps; ++number) {
            const std::string id = this->submit(this->randomQueue(), true);
            const workload::Job &job = *this->state.findJob(id);
            const std::uint64_t kind = this->random() % 3;
            if (!job.queue().advice || kind == 0) {
                continue;
            }
            const std::uint64_t requestId = this->request(job);
            if (kind == 1) {
                this->answer(requestId);
            }
        }
        // Some of the tickets expire meanwhile.
        this->advance(absl::Milliseconds(40));
    }

    Plan plan()
    {
        return this->planner.plan(this->now, this->wallMillis);
    }

    /** Executes a plan: places and stops runs, and answers some of its advice requests. */
    void execute(const Plan &plan)
    {
        for (const auto &[key, servedStep] : plan.preemptions) {
            this->tracks.at(key).phase = execution::RunPhase::Stopping;
        }
        work::PlaceRunsT command;
        for (const work::PlacementT &placement : plan.placements) {
            command.placements.push_back(std::make_unique<work::PlacementT>(placement));
        }
        this->place(std::move(command));
        for (const execution::AdviceRequest &request : plan.adviceRequests) {
            this->pendingRequests[request.id] = request.workers;
            if (this->chance(0.5)) {
                this->answer(request.id);
            }
        }
    }

    /** Answers all pending requests. */
    void answerAll()
    {
        for (const auto &[requestId, workers] : this->pendingRequests) {
            this->answer(requestId);
        }
        this->pendingRequests.clear();
    }

    void advance(Duration duration)
    {
        this->now += duration;
        this->wallMillis += absl::ToInt64Milliseconds(duration);
    }

    /** Ends each current run with probability @p share. */
    void endRuns(double share)
    {
        std::vector<std::pair<workload::TaskKey, execution::RunTrack>> ended;
        for (const auto &[key, track] : this->tracks) {
            if (this->chance(share)) {
                ended.emplace_back(key, track);
            }
        }
        for (const auto &[key, track] : ended) {
            this->endRun(key, track, this->chance(0.9) ? work::RunEndKind::Done : work::RunEndKind::Failed);
        }
    }

    void endRun(const workload::TaskKey &key, const execution::RunTrack &track, work::RunEndKind kind)
    {
        work::RecordEndsT command;
        command.worker = track.worker.id;
        auto &end = command.ends.emplace_back(std::make_unique<work::RunEndT>());
        end->task = key.record();
        end->run = track.run;
        end->kind = kind;
        this->tracks.erase(key);
        this->apply(std::move(command));
    }

    template<typename Table>
    workload::Outcome apply(Table table)
    {
        return workload::applyCommand(this->state, this->wallMillis, std::move(table));
    }

    std::mt19937_64 random;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::int64_t wallMillis = 1'000'000;
    workload::Workload state;
    execution::WorkerViews views;
    execution::RunTracks tracks;
    execution::TaskBackoff taskBackoff;
    AdviceCache advice;
    std::map<std::string, double> typicalRatios;
    Planner planner;

private:
    bool chance(double share)
    {
        return static_cast<double>(this->random() % 1000) < 1000 * share;
    }

    std::uint32_t uniform(std::uint32_t minimum, std::uint32_t maximum)
    {
        return minimum + static_cast<std::uint32_t>(this->random() % (maximum - minimum + 1));
    }

    void addQueue(work::ChangeConfigurationT &configuration, const std::string &name, std::uint32_t priority, double decisionMillis)
    {
        auto &queue = configuration.queues.emplace_back(std::make_unique<work::QueueSpecT>());
        queue->name = name;
        queue->service = "pool";
        queue->priority = priority;
        queue->maxAttempts = 3;
        queue->stretch = 1.5;
        queue->targetLatencyMillis = 300;
        if (decisionMillis > 0) {
            queue->advice = std::make_unique<work::AdvicePolicyT>();
            queue->advice->decisionMillis = decisionMillis;
            queue->advice->perWorkerMillis = decisionMillis / 70;
            queue->advice->validMillis = 700;
        }
    }

    void configure()
    {
        work::ChangeConfigurationT configuration;
        configuration.version = 1;
        this->addQueue(configuration, "quick", 0, 21);
        this->addQueue(configuration, "long", 2, 380);
        this->addQueue(configuration, "urgent", 0, 0);
        this->addQueue(configuration, "plain", 1, 0);
        configuration.services.emplace_back(std::make_unique<work::ServiceSpecT>())->name = "other";
        configuration.services.emplace_back(std::make_unique<work::ServiceSpecT>())->name = "pool";
        this->apply(std::move(configuration));
    }

    void addWorker(std::uint32_t number)
    {
        work::RegisterWorkerT registration;
        registration.id = absl::StrCat("worker-", absl::Dec(number, absl::kZeroPad5));
        registration.zone = absl::StrCat("d", number % 3);
        registration.service = this->chance(0.97) ? "pool" : "other";
        registration.labels = {number % 3 == 0 ? "b" : "a", absl::StrCat("r", number % 3, "-", number / 36)};
        registration.capacity = std::make_unique<work::Demand>(this->chance(0.5) ? 16'000 : 8000 * this->uniform(1, 4), 65'536, 0);
        registration.isDraining = this->chance(0.02);
        auto &view = this->views.try_emplace(workload::incarnationOf(registration), this->now, absl::Seconds(10)).first->second;
        view.recordAnswer(this->now, 1000);
        view.slowness = this->chance(0.1) ? 1.5 : 1.0;
        if (this->chance(0.03)) {
            view.recordCall(1, this->now - absl::Seconds(1));
        }
        const std::uint32_t failures = this->chance(0.05) ? this->uniform(1, 3) : 0;
        for (std::uint32_t failure = 0; failure < failures; ++failure) {
            view.recordFailedRun(this->now - absl::Seconds(this->uniform(0, 6)), {"failing", 0, 0}, true);
        }
        this->apply(std::move(registration));
    }

    std::string randomQueue()
    {
        const std::uint64_t number = this->random() % 20;
        return number < 11 ? "quick" : number < 16 ? "long" : number < 18 ? "urgent" : "plain";
    }

    std::unique_ptr<work::StepSpecT> step(const std::string &queue)
    {
        auto made = std::make_unique<work::StepSpecT>();
        const bool isLong = queue == "long";
        made->count = isLong ? this->uniform(5, 34) : this->uniform(2, 19);
        made->estimatedMillis = isLong ? 4800 : 800;
        const std::uint32_t processors = this->uniform(300, 2000);
        const std::uint32_t memory = this->uniform(200, 4000);
        made->demand = std::make_unique<work::Demand>(processors, memory, 0);
        made->isCheckpointing = isLong && this->chance(0.8);
        made->isGang = isLong && this->chance(0.15);
        made->prefersOneRack = made->isGang && this->chance(0.7);
        made->mostPerWorker = this->chance(0.15) ? this->uniform(1, 2) : 0;
        made->mayRunCopies = !made->isGang && this->chance(0.3);
        made->requiredLabel = this->chance(0.1) ? "b" : "";
        made->dataRack = this->chance(0.1) ? "r1-1" : "";
        made->isLasting = queue == "plain" && this->chance(0.7);
        made->targetLatencyMillis = made->isLasting && this->chance(0.5) ? 50 : 0;
        made->isFilling = isLong && this->chance(0.1);
        return made;
    }

    std::string submit(const std::string &queue, bool isWaiting)
    {
        this->advance(absl::Milliseconds(isWaiting ? 5 : 1));
        work::SubmitJobT command;
        // Random IDs don't sort by age.
        command.id = absl::StrCat(absl::Hex(this->random(), absl::kZeroPad16));
        command.queue = queue;
        command.spec = std::make_unique<work::JobSpecT>();
        command.spec->payload.assign(1200, 'p');
        command.spec->steps.push_back(this->step(queue));
        if (this->chance(0.5)) {
            command.spec->steps.push_back(this->step(queue));
            command.spec->steps.back()->after = {0};
        }
        std::string id = command.id;
        this->apply(std::move(command));
        return id;
    }

    /** A random worker with free capacity, or any worker if a few tries find none. */
    std::string randomWorkerFor(const work::StepSpecT &step)
    {
        constexpr int mostTries = 12;
        if (this->incarnations.size() != this->state.workers().size()) {
            this->incarnations.clear();
            for (const auto &[incarnation, worker] : this->state.workers()) {
                this->incarnations.push_back(incarnation);
            }
        }
        const workload::Incarnation *chosen = nullptr;
        for (int tries = 0; tries < mostTries; ++tries) {
            chosen = &this->incarnations[this->random() % this->incarnations.size()];
            if (this->state.findWorker(*chosen)->hasCapacityFor(step)) {
                break;
            }
        }
        return chosen->id;
    }

    std::size_t placeRandomly(const std::string &id, double share)
    {
        const workload::Job &job = *this->state.findJob(id);
        const work::StepSpecT &step = job.stepSpec(0);
        work::PlaceRunsT command;
        for (std::uint32_t index = 0; index < step.count; ++index) {
            if (step.isGang || this->chance(share)) {
                auto &placement = command.placements.emplace_back(std::make_unique<work::PlacementT>());
                placement->task = workload::TaskKey(id, 0, 0, index).record();
                placement->run = 1;
                placement->worker = this->randomWorkerFor(step);
            }
        }
        return this->place(std::move(command));
    }

    std::size_t place(work::PlaceRunsT command)
    {
        const workload::Outcome outcome = this->apply(std::move(command));
        for (const work::PlacementT &placed : outcome.placed) {
            const workload::TaskKey key(*placed.task);
            execution::RunTrack track;
            track.worker = workload::incarnationOf(placed);
            track.run = placed.run;
            track.phase = this->chance(0.85) ? execution::RunPhase::Running : this->chance(0.5) ? execution::RunPhase::Starting : execution::RunPhase::Stopping;
            this->tracks[key] = track;
            const work::StepSpecT &step = this->state.findJob(key.job)->stepSpec(key.step);
            if (step.mayRunCopies && this->chance(0.02)) {
                this->endRun(key, track, work::RunEndKind::Superseded);
            }
        }
        return outcome.placed.size();
    }

    std::uint64_t request(const workload::Job &job)
    {
        std::vector<workload::Incarnation> workers;
        for (const auto &[incarnation, worker] : this->state.workers()) {
            if (this->chance(24.0 / static_cast<double>(this->state.workers().size()))) {
                workers.push_back(incarnation);
            }
        }
        const execution::AdviceRequest adviceRequest = this->advice.request(this->now, {job.id(), 0, 0}, job.queue().name, workers, *job.queue().advice);
        this->pendingRequests[adviceRequest.id] = workers;
        return adviceRequest.id;
    }

    void answer(std::uint64_t requestId)
    {
        execution::AdviceAnswer answer;
        answer.isAnswered = this->chance(0.9);
        for (const workload::Incarnation &worker : this->pendingRequests[requestId]) {
            if (this->chance(0.6)) {
                answer.tickets.emplace_back();
                answer.tickets.back().worker = worker.id;
                answer.tickets.back().ticket = "ticket";
            }
        }
        this->advice.recordAnswer(this->now, requestId, answer);
    }

    std::map<std::uint64_t, std::vector<workload::Incarnation>> pendingRequests;
    /** Incarnations of all workers, in the order of the ledger. */
    std::vector<workload::Incarnation> incarnations;
};

} // namespace paddlepier::planning

#endif
