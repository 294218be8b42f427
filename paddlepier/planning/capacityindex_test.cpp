// The incrementally maintained capacity index equals one built from scratch, and its cost depends on what has changed.

#include "paddlepier/planning/capacityindex.h"

#include "paddlepier/planning/fakecell.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace paddlepier::planning
{

namespace
{

class CapacityIndexFixture
{
public:
    explicit CapacityIndexFixture(std::uint32_t workers = 60)
        : cell(7, workers)
        , index(this->cell.state, this->cell.views, this->cell.tracks, this->cell.advice)
    {
        this->cell.fill(std::size_t{6} * workers);
        this->index.refresh(this->cell.now);
    }

    /** The state that a plan may use, as one line for each worker, sorted by name. */
    std::vector<std::string> linesOf(CapacityIndex &capacityIndex)
    {
        std::vector<std::string> lines;
        for (const auto &[incarnation, worker] : this->cell.state.workers()) {
            const WorkerCapacity *entry = capacityIndex.find(incarnation);
            lines.push_back(entry == nullptr ? incarnation.text() + " unusable"
                                             : absl::StrCat(incarnation.text(),
                                                            " ",
                                                            entry->freeProcessors,
                                                            " ",
                                                            entry->freeMemory,
                                                            " ",
                                                            entry->releasingProcessors,
                                                            " ",
                                                            entry->isOnProbation ? "probation " : "",
                                                            entry->adviceStatus == AdviceStatus::NotRequested ? "" : "advice of an earlier step ",
                                                            entry->isIsolated || entry->suspectRuns > 0 || entry->isCountedForStep ? "of an earlier plan " : "",
                                                            std::string(capacityIndex.dataCentreName(entry->dataCentre))));
        }
        for (const char *name : {"d0", "d1", "d2", "d3"}) {
            lines.push_back(absl::StrCat(name, capacityIndex.isHealthy(capacityIndex.dataCentreNamed(name)) ? " healthy" : " unhealthy"));
        }
        return lines;
    }

    std::vector<std::string> linesBuiltFromScratch()
    {
        CapacityIndex rebuilt(this->cell.state, this->cell.views, this->cell.tracks, this->cell.advice);
        rebuilt.refresh(this->cell.now);
        return this->linesOf(rebuilt);
    }

    workload::Incarnation randomWorker()
    {
        auto worker = this->cell.state.workers().begin();
        std::advance(worker, static_cast<std::ptrdiff_t>(this->cell.random() % this->cell.state.workers().size()));
        return worker->first;
    }

    void addWorker(const std::string &id, const std::string &dataCentre)
    {
        work::RegisterWorkerT registration;
        registration.id = id;
        registration.zone = dataCentre;
        registration.service = "pool";
        registration.labels = {"a", "r9"};
        registration.capacity = std::make_unique<work::Demand>(16'000, 65'536, 0);
        auto &view = this->cell.views.try_emplace(workload::incarnationOf(registration), this->cell.now, absl::Seconds(10)).first->second;
        view.recordAnswer(this->cell.now, 1000);
        this->index.markViewChanged(workload::incarnationOf(registration));
        this->cell.apply(std::move(registration));
    }

    void removeWorker(const workload::Incarnation &incarnation)
    {
        for (auto track = this->cell.tracks.begin(); track != this->cell.tracks.end();) {
            track = track->second.worker == incarnation ? this->cell.tracks.erase(track) : std::next(track);
        }
        work::RemoveWorkerT command;
        command.id = incarnation.id;
        command.born = incarnation.born;
        this->cell.apply(std::move(command));
        this->cell.views.erase(incarnation);
    }

    /** Applies a random event to one worker's view. */
    void changeView(const workload::Incarnation &incarnation)
    {
        execution::WorkerView &view = this->cell.views.at(incarnation);
        switch (this->cell.random() % 5) {
        case 0:
            view.recordFailedCall(this->cell.now);
            break;
        case 1:
            view.recordAnswer(this->cell.now, std::nullopt);
            break;
        case 2:
            view.recordCall(this->cell.random(), this->cell.now + absl::Milliseconds(20));
            break;
        case 3:
            view.recordFailedRun(this->cell.now, {"failing", 0, 0}, true);
            break;
        default:
            view.startsBlockedUntil = this->cell.now + absl::Milliseconds(30);
        }
        this->index.markViewChanged(incarnation);
    }

    FakeCell cell;
    CapacityIndex index;
};

class LargeCapacityIndexFixture : public CapacityIndexFixture
{
public:
    LargeCapacityIndexFixture()
        : CapacityIndexFixture(1500)
    {
    }
};

} // namespace

TEST_CASE_METHOD(CapacityIndexFixture, "capacityIndex_afterRandomWorkerEvents_equalsOneBuiltFromScratch")
{
    for (int round = 0; round < 400; ++round) {
        this->cell.advance(absl::Milliseconds(10));
        const std::uint64_t event = this->cell.random() % 40;
        if (event == 0) {
            this->addWorker(absl::StrCat("new-", round), absl::StrCat("d", round % 4));
        } else if (event == 1) {
            this->removeWorker(this->randomWorker());
        } else if (event == 2) {
            work::ChangeEvacuationT command;
            command.dataCentre = "d1";
            command.isEvacuated = this->cell.random() % 2 == 0;
            this->cell.apply(std::move(command));
        } else if (event < 6) {
            this->cell.endRuns(0.02);
        } else if (event < 12) {
            this->cell.execute(this->cell.plan());
            this->cell.addWaitingSteps(2);
        } else {
            this->changeView(this->randomWorker());
        }
        // A plan reserves capacity and marks workers; the next refresh must undo both.
        this->index.refresh(this->cell.now);
        REQUIRE(this->linesOf(this->index) == this->linesBuiltFromScratch());
        WorkerCapacity &entry = this->index.all()[this->cell.random() % this->index.all().size()];
        if (entry.isUsable && !this->cell.state.waitingJobs().empty()) {
            const workload::Job &job = *this->cell.state.findJob(*this->cell.state.waitingJobs().begin());
            PendingStep pending;
            pending.job = &job;
            pending.key = {job.id(), 0, 0};
            pending.step = &job.stepSpec(0);
            pending.progress = &job.occurrences()[0].steps[0];
            this->index.beginStep(this->cell.now, pending);
            this->index.countTask(entry, 1);
            this->index.markModified(entry);
            entry.releasingProcessors += 500;
            entry.isIsolated = true;
        }
    }
}

TEST_CASE_METHOD(CapacityIndexFixture, "worker_changedWithoutAMark_isReadRoundRobin")
{
    const workload::Incarnation incarnation = this->randomWorker();
    this->cell.views.at(incarnation).recordAnswer(this->cell.now, std::nullopt);
    this->index.markViewChanged(incarnation);
    this->index.refresh(this->cell.now);
    const bool wasUsable = this->index.find(incarnation) != nullptr;
    this->cell.views.at(incarnation).recordFailedCall(this->cell.now);
    for (std::size_t plan = 0; plan < this->cell.state.workers().size(); ++plan) {
        this->index.refresh(this->cell.now);
    }
    CHECK(wasUsable);
    CHECK(this->index.find(incarnation) == nullptr);
}

TEST_CASE_METHOD(LargeCapacityIndexFixture, "refresh_afterChangesOfAFewWorkers_readsFewOthers")
{
    const std::uint64_t before = this->index.reads();
    for (int round = 0; round < 10; ++round) {
        this->index.markViewChanged(this->randomWorker());
        this->index.refresh(this->cell.now);
    }
    // One changed worker, and one in 128 of the others, read round-robin.
    CHECK(this->index.reads() - before <= std::uint64_t{10} * (1 + 1500 / 100));
}

TEST_CASE_METHOD(LargeCapacityIndexFixture, "taskSize_thatFitsNowhere_isSearchedOnceAPlan")
{
    work::StepSpecT step;
    step.demand = std::make_unique<work::Demand>(100'000, 100, 0);
    CHECK_FALSE(this->index.hasCapacityFor("pool", step));
    step.demand = std::make_unique<work::Demand>(120'000, 200, 0);
    CHECK_FALSE(this->index.hasCapacityFor("pool", step));
    CHECK_FALSE(this->index.hasCapacityFor("none", step));
    step.demand = std::make_unique<work::Demand>(100, 100, 0);
    CHECK(this->index.hasCapacityFor("pool", step));
    step.isFilling = true;
    step.demand = std::make_unique<work::Demand>(100'000, 100, 0);
    CHECK(this->index.hasCapacityFor("pool", step));
}

} // namespace paddlepier::planning
