// Test fixture: a ledger with one large worker, and the overload control that decides on submissions to it, in virtual time.
//
// run() replays arrivals. Waiting tasks are placed by priority and age alone, so that the results depend on the decisions and not on the
// planner's order.
//
// Thread safety: none; used by tests of this folder only.

#ifndef PADDLEPIER_ADMISSION_ADMISSIONFIXTURE_H
#define PADDLEPIER_ADMISSION_ADMISSIONFIXTURE_H

#include "paddlepier/admission/admissioncontroller.h"
#include "paddlepier/workload/applycommand.h"

#include <absl/strings/str_cat.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace paddlepier::admission
{

class AdmissionFixture
{
public:
    static constexpr std::int64_t start = 1'000'000;
    static constexpr std::uint32_t capacity = 100'000;
    /** Reserved part of the capacity, as told to the controller. */
    std::uint64_t reserved = capacity;
    static constexpr std::uint32_t teamCount = 20;

    AdmissionFixture()
    {
        work::ChangeConfigurationT configuration;
        configuration.version = 1;
        for (const auto &[name, priority, stretch, target] : {std::tuple("urgent", 0U, 1.5, 300U), std::tuple("batch", 2U, 4.0, 3000U)}) {
            auto &queue = configuration.queues.emplace_back(std::make_unique<work::QueueSpecT>());
            queue->name = name;
            queue->pathPrefix = absl::StrCat("/", name, "/");
            queue->service = "pool";
            queue->priority = priority;
            queue->stretch = stretch;
            queue->targetLatencyMillis = target;
            queue->maxAttempts = 3;
        }
        for (std::uint32_t number = 0; number < teamCount; ++number) {
            auto &team = configuration.teams.emplace_back(std::make_unique<work::TeamSpecT>());
            team->name = teamName(number);
            team->weight = 10;
        }
        this->apply(std::move(configuration));
        work::RegisterWorkerT registration;
        registration.id = "w";
        registration.service = "pool";
        registration.capacity = std::make_unique<work::Demand>(capacity, 1'000'000, 0);
        this->apply(std::move(registration));
        this->controller.update(start);
    }

    static std::string teamName(std::uint32_t number)
    {
        return absl::StrCat("t", number);
    }

    template<typename Table>
    workload::Outcome apply(Table table)
    {
        return workload::applyCommand(this->state, this->wallMillis, std::move(table));
    }

    /** One step of tasks that take a processor each. */
    static work::JobSpecT spec(std::uint32_t tasks, std::uint32_t millis)
    {
        work::JobSpecT made;
        auto &step = made.steps.emplace_back(std::make_unique<work::StepSpecT>());
        step->count = tasks;
        step->estimatedMillis = millis;
        step->demand = std::make_unique<work::Demand>(1000, 10, 0);
        return made;
    }

    Decision decide(const std::string &queue, const work::JobSpecT &job, const std::string &team = "", const std::string &id = "new")
    {
        return this->controller.decide(
            {id, team, *this->state.findQueue("", absl::StrCat("/", queue, "/")), job}, {capacity, this->reserved}, this->wallMillis);
    }

    /** Stores a job without asking the controller. */
    std::string store(const std::string &queue, const work::JobSpecT &job, const std::string &team = "")
    {
        work::SubmitJobT command;
        command.id = absl::StrCat("job-", this->jobCount++);
        command.queue = queue;
        command.team = team;
        command.spec = std::make_unique<work::JobSpecT>(job);
        const std::string id = command.id;
        this->apply(std::move(command));
        return id;
    }

    void place(const workload::TaskKey &key, std::uint32_t run = 1)
    {
        work::PlaceRunsT command;
        auto &placement = command.placements.emplace_back(std::make_unique<work::PlacementT>());
        placement->task = key.record();
        placement->run = run;
        placement->worker = "w";
        this->apply(std::move(command));
    }

    void end(const workload::TaskKey &key, std::uint32_t run = 1, work::RunEndKind kind = work::RunEndKind::Done)
    {
        work::RecordEndsT command;
        command.worker = "w";
        auto &ended = command.ends.emplace_back(std::make_unique<work::RunEndT>());
        ended->task = key.record();
        ended->run = run;
        ended->kind = kind;
        this->apply(std::move(command));
    }

    /** Jobs that one team submits to "batch" at random times in an interval of the replay. */
    struct Arrivals {
        std::string team;
        double jobsPerSecond = 0;
        std::int64_t fromMillis = 0;
        std::int64_t untilMillis = 0;
    };
    struct Result {
        int submitted = 0;
        int accepted = 0;
        int inTime = 0;
    };

    /** Replays @p arrivals of jobs of 10 tasks of 2 s, whose objective is 11 s, and @return the results by team. */
    std::map<std::string, Result> run(const std::vector<Arrivals> &arrivals, bool isControlled, std::int64_t untilMillis)
    {
        std::mt19937_64 random(20261203);
        std::map<std::string, Result> results;
        const work::JobSpecT job = spec(10, 2000);
        const std::int64_t begin = this->wallMillis;
        for (; this->wallMillis < begin + untilMillis; this->wallMillis += tickMillis) {
            this->endRuns(results);
            for (const Arrivals &arrival : arrivals) {
                const std::int64_t at = this->wallMillis - begin;
                const bool isActive = at >= arrival.fromMillis && at < arrival.untilMillis;
                if (!isActive || std::uniform_real_distribution<>()(random) >= arrival.jobsPerSecond * tickMillis / 1000) {
                    continue;
                }
                Result &result = results[arrival.team];
                ++result.submitted;
                if (!isControlled || this->decide("batch", job, arrival.team).refusal == Refusal::None) {
                    ++result.accepted;
                    this->waiting.push_back(this->store("batch", job, arrival.team));
                }
            }
            this->placeWaiting();
        }
        return results;
    }

    std::int64_t wallMillis = start;
    workload::Workload state;
    std::map<std::string, double> typicalRatios;
    AdmissionController controller{this->state, this->typicalRatios, start};

private:
    static constexpr std::int64_t tickMillis = 20;

    void endRuns(std::map<std::string, Result> &results)
    {
        while (!this->ends.empty() && this->ends.begin()->first <= this->wallMillis) {
            const workload::TaskKey key = this->ends.begin()->second;
            this->ends.erase(this->ends.begin());
            this->end(key);
            this->freeProcessors += 1000;
            const workload::Job &job = *this->state.findJob(key.job);
            results[job.team()].inTime += job.hasEnded() && this->wallMillis - job.submittedAtMillis() <= 11'000 ? 1 : 0;
        }
    }

    void placeWaiting()
    {
        while (this->freeProcessors >= 1000 && !this->waiting.empty()) {
            const workload::TaskKey key(this->waiting.front(), 0, 0, this->nextTask);
            this->place(key);
            this->ends.emplace(this->wallMillis + 2000, key);
            this->freeProcessors -= 1000;
            if (++this->nextTask == this->state.findJob(key.job)->stepSpec(0).count) {
                this->nextTask = 0;
                this->waiting.pop_front();
            }
        }
    }

    int jobCount = 0;
    std::int64_t freeProcessors = capacity;
    std::deque<std::string> waiting;
    std::uint32_t nextTask = 0;
    std::set<std::pair<std::int64_t, workload::TaskKey>> ends;
};

} // namespace paddlepier::admission

#endif
