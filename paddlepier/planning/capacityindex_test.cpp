// Rooms that are kept from plan to plan: they are what a reading of the whole cell finds, and cost what has changed.

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

class RoomsFixture
{
public:
    explicit RoomsFixture(std::uint32_t workers = 60)
        : cell(7, workers)
        , kept(this->cell.state, this->cell.views, this->cell.advice)
    {
        this->cell.fill(std::size_t{6} * workers);
        this->kept.collect(this->cell.now);
    }

    /** What a plan may go by, one line for each worker, in the order of their names. */
    std::vector<std::string> linesOf(Rooms &rooms)
    {
        std::vector<std::string> lines;
        for (const auto &[life, worker] : this->cell.state.workers()) {
            const Room *room = rooms.find(life);
            lines.push_back(room == nullptr ? life.text() + " unusable"
                                            : absl::StrCat(life.text(),
                                                           " ",
                                                           room->processors,
                                                           " ",
                                                           room->memory,
                                                           " ",
                                                           room->comingProcessors,
                                                           " ",
                                                           room->isOnProbation ? "probation " : "",
                                                           room->standing == Standing::Unasked ? "" : "told of an earlier step ",
                                                           room->isKeptApart || room->suspects > 0 || room->isOfStep ? "of an earlier plan " : "",
                                                           std::string(rooms.dataCentreName(room->dataCentre))));
        }
        for (const char *name : {"d0", "d1", "d2", "d3"}) {
            lines.push_back(absl::StrCat(name, rooms.isSound(rooms.dataCentreNamed(name)) ? " sound" : " unsound"));
        }
        return lines;
    }

    std::vector<std::string> linesReadAnew()
    {
        Rooms anew(this->cell.state, this->cell.views, this->cell.advice);
        anew.collect(this->cell.now);
        return this->linesOf(anew);
    }

    workload::Life anyWorker()
    {
        auto worker = this->cell.state.workers().begin();
        std::advance(worker, static_cast<std::ptrdiff_t>(this->cell.random() % this->cell.state.workers().size()));
        return worker->first;
    }

    void join(const std::string &id, const std::string &dataCentre)
    {
        work::RegisterWorkerT registration;
        registration.id = id;
        registration.zone = dataCentre;
        registration.service = "pool";
        registration.labels = {"a", "r9"};
        registration.capacity = std::make_unique<work::Demand>(16'000, 65'536, 0);
        auto &view = this->cell.views.try_emplace(workload::lifeOf(registration), this->cell.now, absl::Seconds(10)).first->second;
        view.noteAnswer(this->cell.now, 1000);
        this->kept.noteView(workload::lifeOf(registration));
        this->cell.apply(std::move(registration));
    }

    void leave(const workload::Life &life)
    {
        for (auto track = this->cell.tracks.begin(); track != this->cell.tracks.end();) {
            track = track->second.worker == life ? this->cell.tracks.erase(track) : std::next(track);
        }
        work::RemoveWorkerT command;
        command.id = life.id;
        command.born = life.born;
        this->cell.apply(std::move(command));
        this->cell.views.erase(life);
    }

    /** Something that happens to one worker's view. */
    void changeView(const workload::Life &life)
    {
        execution::WorkerView &view = this->cell.views.at(life);
        switch (this->cell.random() % 5) {
        case 0:
            view.noteSilence(this->cell.now);
            break;
        case 1:
            view.noteAnswer(this->cell.now, std::nullopt);
            break;
        case 2:
            view.noteCall(this->cell.random(), this->cell.now + absl::Milliseconds(20));
            break;
        case 3:
            view.noteFailedRun(this->cell.now);
            break;
        default:
            view.startsBlockedUntil = this->cell.now + absl::Milliseconds(30);
        }
        this->kept.noteView(life);
    }

    FakeCell cell;
    Rooms kept;
};

class LargeRoomsFixture : public RoomsFixture
{
public:
    LargeRoomsFixture()
        : RoomsFixture(1500)
    {
    }
};

} // namespace

TEST_CASE_METHOD(RoomsFixture, "rooms_throughAllThatHappensToWorkers_areWhatAReadingOfTheCellFinds")
{
    for (int round = 0; round < 400; ++round) {
        this->cell.pass(absl::Milliseconds(10));
        const std::uint64_t event = this->cell.random() % 40;
        if (event == 0) {
            this->join(absl::StrCat("new-", round), absl::StrCat("d", round % 4));
        } else if (event == 1) {
            this->leave(this->anyWorker());
        } else if (event == 2) {
            work::ChangeEvacuationT command;
            command.dataCentre = "d1";
            command.isEvacuated = this->cell.random() % 2 == 0;
            this->cell.apply(std::move(command));
        } else if (event < 6) {
            this->cell.endRuns(0.02);
        } else if (event < 12) {
            this->cell.carryOut(this->cell.plan());
            this->cell.addWaitingSteps(2);
        } else {
            this->changeView(this->anyWorker());
        }
        // A plan takes room and marks workers; none of that is left to the next one.
        this->kept.collect(this->cell.now);
        REQUIRE(this->linesOf(this->kept) == this->linesReadAnew());
        Room &room = this->kept.all()[this->cell.random() % this->kept.all().size()];
        if (room.isUsable && !this->cell.state.waitingJobs().empty()) {
            const workload::Job &job = *this->cell.state.findJob(*this->cell.state.waitingJobs().begin());
            WantedStep wanted;
            wanted.job = &job;
            wanted.key = {job.id(), 0, 0};
            wanted.step = &job.stepSpec(0);
            wanted.progress = &job.occurrences()[0].steps[0];
            this->kept.beginStep(this->cell.now, wanted);
            this->kept.countTask(room, 1);
            this->kept.touch(room);
            room.comingProcessors += 500;
            room.isKeptApart = true;
        }
    }
}

TEST_CASE_METHOD(RoomsFixture, "workerWhoseChangeNobodyTold_isReadInTurn")
{
    const workload::Life life = this->anyWorker();
    this->cell.views.at(life).noteAnswer(this->cell.now, std::nullopt);
    this->kept.noteView(life);
    this->kept.collect(this->cell.now);
    const bool wasUsable = this->kept.find(life) != nullptr;
    this->cell.views.at(life).noteSilence(this->cell.now);
    for (std::size_t plan = 0; plan < this->cell.state.workers().size(); ++plan) {
        this->kept.collect(this->cell.now);
    }
    CHECK(wasUsable);
    CHECK(this->kept.find(life) == nullptr);
}

TEST_CASE_METHOD(LargeRoomsFixture, "changeOfAFewWorkers_isReadWithoutTheOthers")
{
    const std::uint64_t before = this->kept.reads();
    for (int round = 0; round < 10; ++round) {
        this->kept.noteView(this->anyWorker());
        this->kept.collect(this->cell.now);
    }
    // One that has changed, and a 128th of the others in turn.
    CHECK(this->kept.reads() - before <= std::uint64_t{10} * (1 + 1500 / 100));
}

TEST_CASE_METHOD(LargeRoomsFixture, "sizeThatFitsNowhere_isLookedForOnceAPlan")
{
    work::StepSpecT step;
    step.demand = std::make_unique<work::Demand>(100'000, 100, 0);
    CHECK_FALSE(this->kept.hasRoomFor("pool", step));
    step.demand = std::make_unique<work::Demand>(120'000, 200, 0);
    CHECK_FALSE(this->kept.hasRoomFor("pool", step));
    CHECK_FALSE(this->kept.hasRoomFor("none", step));
    step.demand = std::make_unique<work::Demand>(100, 100, 0);
    CHECK(this->kept.hasRoomFor("pool", step));
    step.isFilling = true;
    step.demand = std::make_unique<work::Demand>(100'000, 100, 0);
    CHECK(this->kept.hasRoomFor("pool", step));
}

} // namespace paddlepier::planning
