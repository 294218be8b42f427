// Replays a load pattern through the real planner, advice cache and ledger in virtual time, for tests and benchmarks.
//
// Jobs of several kinds arrive at random times from a seeded generator. Workers execute placed runs for the duration of their work,
// save checkpoints meanwhile, and take some time to stop; the policy service answers after its stated time and permits
// some of the workers. No run fails; a data centre may be partitioned for a while, and runs that end there are reported after the
// partition. Results therefore depend on planning decisions only. The same seed and pattern give the same replay.
//
// Example:
//     LoadReplay replay(seed, pattern);
//     replay.run(absl::Seconds(60));
//     CHECK(replay.wait("wide", 0.95) < absl::Seconds(3));
//
// Thread safety: none. Cost: one plan for every tick of virtual time.

#ifndef PADDLEPIER_PLANNING_LOADREPLAY_H
#define PADDLEPIER_PLANNING_LOADREPLAY_H

#include "paddlepier/planning/loadpatterns.h"
#include "paddlepier/planning/planner.h"
#include "paddlepier/workload/applycommand.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace paddlepier::planning
{

class LoadReplay
{
public:
    static constexpr Duration tick = absl::Milliseconds(10);
    /** Time from the order to stop a run until its end is reported. */
    static constexpr Duration stopTime = absl::Milliseconds(250);
    /** Interval at which a worker reports and saves progress. */
    static constexpr Duration pollInterval = absl::Milliseconds(500);
    static constexpr Duration restoreTime = absl::Milliseconds(600);
    static constexpr std::uint32_t ticketMillis = 2000;

    LoadReplay(std::uint64_t seed, LoadPattern loadPattern)
        : random(seed)
        , pattern(std::move(loadPattern))
        , planner(this->state, this->views, this->tracks, this->taskBackoff, this->advice, this->typicalRatios)
    {
        this->configure();
        for (std::uint32_t number = 0; number < this->pattern.workers; ++number) {
            this->addWorker(number);
        }
        for (std::size_t kind = 0; kind < this->pattern.kinds.size(); ++kind) {
            this->nextArrival.push_back(this->now + this->interarrivalTime(kind));
        }
    }

    void run(Duration duration)
    {
        for (const Timestamp end = this->now + duration; this->now < end; this->now += tick) {
            this->submitArrivals();
            this->applyPartition();
            this->endRuns();
            this->answerRequests();
            this->reportProgress();
            this->execute(this->planner.plan(this->now, this->wallMillis(), this->budget()));
        }
    }

    /** Quantile of the time from a job's submission to its first start, over the queue's jobs; waiting jobs count with their wait so far. */
    Duration wait(const std::string &queue, double quantile) const
    {
        std::vector<Duration> waits;
        for (const auto &[id, job] : this->jobs) {
            if (job.queue == queue) {
                waits.push_back(std::min(job.startedAt, this->now) - job.submittedAt);
            }
        }
        std::sort(waits.begin(), waits.end());
        return waits.empty() ? absl::ZeroDuration() : waits[std::min(waits.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(waits.size())))];
    }

    /** Share of the queue's jobs that ended within their objective; jobs that haven't ended and can still meet it don't count. */
    double inTimeShare(const std::string &queue) const
    {
        double met = 0;
        double missed = 0;
        for (const auto &[id, job] : this->jobs) {
            if (job.queue == queue) {
                met += job.endedAt <= job.objective ? 1 : 0;
                missed += job.endedAt > job.objective && this->now > job.objective ? 1 : 0;
            }
        }
        return met + missed == 0 ? 1.0 : met / (met + missed);
    }

    /** The same for jobs submitted in the interval [from, to) of replay time; jobs that haven't ended count as missed. */
    double inTimeShare(const std::string &queue, Duration from, Duration to) const
    {
        double met = 0;
        double all = 0;
        for (const auto &[id, job] : this->jobs) {
            const bool isSelected = job.queue == queue && job.submittedAt >= this->begin + from && job.submittedAt < this->begin + to;
            all += isSelected ? 1 : 0;
            met += isSelected && job.endedAt <= job.objective ? 1 : 0;
        }
        return all == 0 ? 1.0 : met / all;
    }

    /** Mean number of data centres in which tasks of one job of the queue ran. */
    double meanDataCentresPerJob(const std::string &queue) const
    {
        double touched = 0;
        double started = 0;
        for (const auto &[id, job] : this->jobs) {
            const bool isSelected = job.queue == queue && !job.dataCentres.empty();
            started += isSelected ? 1 : 0;
            touched += isSelected ? static_cast<double>(job.dataCentres.size()) : 0;
        }
        return started == 0 ? 0.0 : touched / started;
    }

    /** Processor seconds of work lost because a run was stopped without a checkpoint. */
    double lostProcessorSeconds() const
    {
        return this->lostWork;
    }

    std::size_t questions() const
    {
        return this->requestCount;
    }

    /** Processor seconds of work in all ended jobs, in time or late, per second. */
    double goodput() const
    {
        return this->endedWork / absl::ToDoubleSeconds(this->now - this->begin);
    }

    PlanWork planWork() const
    {
        return this->planner.work();
    }

    /** Mean share of accelerators that are reserved. */
    double acceleratorsInUse() const
    {
        return this->ticks == 0 ? 0 : this->inUse / static_cast<double>(this->ticks);
    }

private:
    struct JobLog {
        std::string queue;
        Timestamp submittedAt;
        Timestamp objective;
        Duration work;
        Timestamp startedAt = absl::InfiniteFuture();
        Timestamp endedAt = absl::InfiniteFuture();
        std::set<std::string> dataCentres = {};
    };

    struct RunLog {
        std::uint32_t run = 0;
        workload::Incarnation worker;
        Timestamp workSince;
        /** Work saved by earlier runs. */
        Duration saved;
        Timestamp stopsAt = absl::InfiniteFuture();
    };

    struct PendingRequest {
        execution::AdviceRequest request;
        Timestamp answerAt;
    };

    std::int64_t wallMillis() const
    {
        return absl::ToUnixMillis(this->now);
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    Duration interarrivalTime(std::size_t kind)
    {
        return absl::Seconds(std::exponential_distribution<double>(this->pattern.kinds[kind].jobsPerSecond)(this->random));
    }

    template<typename Table>
    workload::Outcome apply(Table table)
    {
        return workload::applyCommand(this->state, this->wallMillis(), std::move(table));
    }

    void configure()
    {
        work::ChangeConfigurationT configuration;
        configuration.version = 1;
        configuration.services.emplace_back(std::make_unique<work::ServiceSpecT>())->name = "pool";
        for (const LoadKind &kind : this->pattern.kinds) {
            auto &queue = configuration.queues.emplace_back(std::make_unique<work::QueueSpecT>());
            queue->name = kind.queue;
            queue->service = "pool";
            queue->priority = kind.priority;
            queue->maxAttempts = 3;
            queue->stretch = kind.stretch;
            queue->targetLatencyMillis = kind.targetLatencyMillis;
            if (kind.decisionMillis > 0) {
                queue->advice = std::make_unique<work::AdvicePolicyT>();
                queue->advice->decisionMillis = kind.decisionMillis;
                queue->advice->perWorkerMillis = kind.perWorkerMillis;
                queue->advice->validMillis = ticketMillis;
            }
        }
        this->apply(std::move(configuration));
    }

    void addWorker(std::uint32_t number)
    {
        work::RegisterWorkerT registration;
        registration.id = absl::StrCat("worker-", absl::Dec(number, absl::kZeroPad4));
        registration.zone = absl::StrCat("d", number % this->pattern.dataCentres);
        registration.service = "pool";
        registration.labels = {"a", absl::StrCat("r", number % this->pattern.dataCentres)};
        registration.capacity = std::make_unique<work::Demand>(this->pattern.milliProcessors, this->pattern.memoryMegabytes, this->pattern.accelerators);
        this->views.try_emplace(workload::incarnationOf(registration), this->now, absl::Seconds(10)).first->second.recordAnswer(this->now, 1000);
        this->apply(std::move(registration));
    }

    /** Each idle instance may make a request; a quarter of the instances is reserved for short requests. */
    PlanBudget budget() const
    {
        if (this->pattern.adviceInstances == std::numeric_limits<std::size_t>::max()) {
            return {};
        }
        const std::size_t pendingCount = this->pendingRequests.size();
        const std::size_t longLimit = this->pattern.adviceInstances * 3 / 4;
        const std::size_t idle = this->pattern.adviceInstances - std::min(pendingCount, this->pattern.adviceInstances);
        return {{longLimit - std::min(pendingCount, longLimit), absl::Milliseconds(50) * idle}};
    }

    void submitArrivals()
    {
        for (std::size_t kind = 0; kind < this->pattern.kinds.size(); ++kind) {
            while (this->nextArrival[kind] <= this->now) {
                this->submit(this->pattern.kinds[kind]);
                this->nextArrival[kind] += this->interarrivalTime(kind);
            }
        }
    }

    void submit(const LoadKind &kind)
    {
        work::SubmitJobT command;
        command.id = absl::StrCat(absl::Hex(this->random(), absl::kZeroPad16));
        command.queue = kind.queue;
        command.spec = std::make_unique<work::JobSpecT>();
        command.spec->callersDataCentre = absl::StrCat("d", this->random() % this->pattern.dataCentres);
        auto &step = command.spec->steps.emplace_back(std::make_unique<work::StepSpecT>());
        step->count = kind.minTasks + static_cast<std::uint32_t>(this->random() % (kind.maxTasks - kind.minTasks + 1));
        step->isGang = kind.isGang;
        step->isCheckpointing = this->uniform() < kind.checkpointingShare;
        const std::uint32_t accelerators = kind.accelerators[this->random() % kind.accelerators.size()];
        step->demand = std::make_unique<work::Demand>(kind.milliProcessors, kind.memoryMegabytes, accelerators);
        const Duration work = absl::Milliseconds(kind.minMillis + this->random() % (kind.maxMillis - kind.minMillis + 1));
        step->estimatedMillis = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(work));
        JobLog job{kind.queue, this->now, {}, work};
        const Duration chain = work + absl::Milliseconds(kind.decisionMillis + 30 * kind.perWorkerMillis);
        job.objective = this->now + kind.stretch * chain + absl::Milliseconds(kind.targetLatencyMillis);
        this->jobs[command.id] = job;
        this->apply(std::move(command));
    }

    Duration workDone(const RunLog &run) const
    {
        return run.saved + std::max(absl::ZeroDuration(), std::min(this->now, run.stopsAt) - run.workSince);
    }

    bool isPartitioned(const workload::Incarnation &worker) const
    {
        const bool isActive = this->now >= this->begin + this->pattern.partition.start
                              && this->now < this->begin + this->pattern.partition.start + this->pattern.partition.duration;
        return isActive && this->state.findWorker(worker)->registration.zone == absl::StrCat("d", this->pattern.partition.dataCentre);
    }

    /** The leader detects unresponsive workers after the answer timeout, and gets answers again when the partition ends. */
    void applyPartition()
    {
        for (auto &[id, view] : this->views) {
            const bool isPartitionedNow = this->isPartitioned(id);
            const bool isDetected = isPartitionedNow && this->now >= this->begin + this->pattern.partition.start + execution::minAnswerTimeout;
            if (isDetected && !view.isUnresponsive()) {
                view.recordFailedCall(this->now);
                this->planner.markViewChanged(id);
            } else if (!isPartitionedNow && view.isUnresponsive()) {
                view.recordAnswer(this->now, std::nullopt);
                this->planner.markViewChanged(id);
            }
        }
    }

    void endRuns()
    {
        std::vector<workload::TaskKey> ended;
        for (const auto &[key, run] : this->runs) {
            if (this->isPartitioned(run.worker)) {
                continue;
            }
            if (run.stopsAt <= this->now || this->workDone(run) >= this->jobs.at(key.job).work) {
                ended.push_back(key);
            }
        }
        for (const workload::TaskKey &key : ended) {
            const RunLog run = this->runs.at(key);
            const bool isDone = this->workDone(run) >= this->jobs.at(key.job).work;
            const work::StepSpecT &step = this->state.findJob(key.job)->stepSpec(key.step);
            if (!isDone && step.isCheckpointing) {
                this->savedWork[key] = this->workDone(run);
            } else if (!isDone) {
                this->lostWork += absl::ToDoubleSeconds(this->workDone(run)) * step.demand->milliProcessors() / 1000;
            }
            this->runs.erase(key);
            this->tracks.erase(key);
            this->recordEnd(key, run, isDone);
        }
    }

    void recordEnd(const workload::TaskKey &key, const RunLog &run, bool isDone)
    {
        work::RecordEndsT command;
        command.worker = run.worker.id;
        auto &end = command.ends.emplace_back(std::make_unique<work::RunEndT>());
        end->task = key.record();
        end->run = run.run;
        end->kind = isDone ? work::RunEndKind::Done : work::RunEndKind::Stopped;
        this->apply(std::move(command));
        const workload::Job *job = this->state.findJob(key.job);
        if (job->hasEnded() && this->jobs.at(key.job).endedAt == absl::InfiniteFuture()) {
            const work::StepSpecT &step = job->stepSpec(key.step);
            this->endedWork += absl::ToDoubleSeconds(this->jobs.at(key.job).work) * step.count * step.demand->milliProcessors() / 1000;
            this->jobs.at(key.job).endedAt = std::min(this->jobs.at(key.job).endedAt, this->now);
        }
    }

    void answerRequests()
    {
        std::vector<PendingRequest> due;
        std::copy_if(this->pendingRequests.begin(), this->pendingRequests.end(), std::back_inserter(due), [this](const PendingRequest &entry) {
            return entry.answerAt <= this->now;
        });
        std::erase_if(this->pendingRequests, [this](const PendingRequest &entry) { return entry.answerAt <= this->now; });
        for (const PendingRequest &pending : due) {
            execution::AdviceAnswer answer;
            answer.isAnswered = true;
            for (const workload::Incarnation &worker : pending.request.workers) {
                if (this->isPermitted(pending.request.step.job, worker.id)) {
                    answer.tickets.emplace_back();
                    answer.tickets.back().worker = worker.id;
                    answer.tickets.back().ticket = "ticket";
                }
            }
            this->advice.recordAnswer(this->now, pending.request.id, answer);
        }
    }

    /** Whether the service permits the worker; the result is the same for each request. */
    bool isPermitted(const std::string &job, const std::string &worker)
    {
        const auto [found, isNew] = this->permissions.try_emplace({job, worker}, false);
        if (isNew) {
            const std::string &queue = this->jobs.at(job).queue;
            const auto kind =
                std::find_if(this->pattern.kinds.begin(), this->pattern.kinds.end(), [&queue](const LoadKind &entry) { return entry.queue == queue; });
            found->second = this->uniform() < kind->permittedShare;
        }
        return found->second;
    }

    void reportProgress()
    {
        if (this->now >= this->nextReport) {
            this->nextReport = this->now + pollInterval;
            for (const auto &[key, run] : this->runs) {
                execution::RunTrack &track = this->tracks.at(key);
                track.percent = static_cast<std::uint32_t>(100 * absl::FDivDuration(this->workDone(run), this->jobs.at(key.job).work));
                track.progressAt = this->now;
            }
        }
        std::uint64_t reserved = 0;
        for (const auto &[id, worker] : this->state.workers()) {
            reserved += worker.reservedAccelerators;
        }
        this->inUse += static_cast<double>(reserved) / std::max(1U, this->pattern.workers * this->pattern.accelerators);
        ++this->ticks;
    }

    void execute(const Plan &plan)
    {
        for (const auto &[key, servedStep] : plan.preemptions) {
            this->tracks.at(key).phase = execution::RunPhase::Stopping;
            this->runs.at(key).stopsAt = std::min(this->runs.at(key).stopsAt, this->now + stopTime);
        }
        for (const execution::AdviceRequest &request : plan.adviceRequests) {
            ++this->requestCount;
            this->pendingRequests.push_back({request, this->now + request.decisionTime});
        }
        work::PlaceRunsT command;
        for (const work::PlacementT &placement : plan.placements) {
            command.placements.push_back(std::make_unique<work::PlacementT>(placement));
        }
        for (const work::PlacementT &placed : this->apply(std::move(command)).placed) {
            this->start(placed);
        }
    }

    void start(const work::PlacementT &placed)
    {
        const workload::TaskKey key(*placed.task);
        const auto saved = this->savedWork.find(key);
        const bool isResumed = saved != this->savedWork.end();
        this->runs[key] = {placed.run,
                           workload::incarnationOf(placed),
                           this->now + (isResumed ? restoreTime : absl::ZeroDuration()),
                           isResumed ? saved->second : absl::ZeroDuration()};
        execution::RunTrack track;
        track.worker = workload::incarnationOf(placed);
        track.run = placed.run;
        track.phase = execution::RunPhase::Running;
        track.placedAt = track.runningSince = track.progressAt = this->now;
        this->tracks[key] = std::move(track);
        JobLog &job = this->jobs.at(key.job);
        job.startedAt = std::min(job.startedAt, this->now);
        job.dataCentres.insert(this->state.findWorker(workload::incarnationOf(placed))->registration.zone);
    }

    std::mt19937_64 random;
    const LoadPattern pattern;
    const Timestamp begin = absl::UnixEpoch() + absl::Hours(1);
    Timestamp now = begin;
    workload::Workload state;
    execution::WorkerViews views;
    execution::RunTracks tracks;
    execution::TaskBackoff taskBackoff;
    AdviceCache advice;
    std::map<std::string, double> typicalRatios;
    Planner planner;
    std::vector<Timestamp> nextArrival;
    std::map<std::string, JobLog> jobs;
    std::map<workload::TaskKey, RunLog> runs;
    std::map<workload::TaskKey, Duration> savedWork;
    std::map<std::pair<std::string, std::string>, bool> permissions;
    std::vector<PendingRequest> pendingRequests;
    Timestamp nextReport = absl::InfinitePast();
    double lostWork = 0;
    double endedWork = 0;
    double inUse = 0;
    std::size_t ticks = 0;
    std::size_t requestCount = 0;
};

} // namespace paddlepier::planning

#endif
