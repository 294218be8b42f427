// End-to-end tests of the real processes while messages between the cores are lost, or leaders are paused.

#include "testing/soak/traffic.h"

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <exception>
#include <filesystem>
#include <iostream>

namespace paddlepier::testing::soak
{

namespace
{

/** How long the answers to a leader are held back before they are lost with their connections, and the time until that happens again. */
constexpr Duration holdTime = absl::Milliseconds(25);
constexpr Duration pauseTime = absl::Milliseconds(100);

/** More than a leader has unanswered messages to one follower. */
constexpr int lossesPerRound = 20;
constexpr int rounds = 4;

/** `recovery_s` of the platform's settings. */
constexpr Duration recoveryTime = absl::Seconds(12);

/** Includes a change of the leader. */
constexpr Duration acceptTimeout = absl::Seconds(6);

/** Jobs that are started before a pause. Their tasks take longer than that, and end before the next leader is elected. */
constexpr std::size_t startsBeforePause = 4;
constexpr Duration taskTime = absl::Milliseconds(200);

/** Time until the forwarders accept connections to a restarted worker. */
constexpr Duration linkRestoreTime = absl::Milliseconds(100);

/** More ends than the next incarnation of the worker has listed. */
constexpr int earlierEnds = 20;

constexpr int pauseRounds = 4;

constexpr Duration settleTimeout = absl::Seconds(40);

/** Three cores with their workers, before any traffic. */
class CellFixture
{
public:
    explicit CellFixture(std::uint32_t cores = 3)
        : sizes{cores, 2, 4, absl::ZeroDuration()}
    {
        REQUIRE(this->traffic.configure(absl::Seconds(20)));
        REQUIRE(this->traffic.submitUntilAccepted(absl::Seconds(20)));
    }

    struct Folder {
        std::string path = (std::filesystem::temp_directory_path() / "linkloss-XXXXXX").string();

        Folder()
        {
            REQUIRE(::mkdtemp(this->path.data()) != nullptr);
        }

        ~Folder()
        {
            // A test that failed leaves the lines of the processes.
            if (std::uncaught_exceptions() > 0) {
                std::cout << "lines of the processes: " << this->path << std::endl;
            } else {
                std::filesystem::remove_all(this->path);
            }
        }
    };

    static constexpr std::uint64_t seed = 1;

    const Sizes sizes;
    const Folder folder;
    Checker checker;
    Cell cell{this->sizes, seed, folder.path, PADDLEPIER_PROGRAMS, checker};
    Traffic traffic{cell, this->sizes, seed, checker};
};

class LinkLossFixture : public CellFixture
{
public:
    LinkLossFixture()
    {
        this->traffic.start();
    }

    ~LinkLossFixture()
    {
        this->traffic.stop();
    }

    /** Loses the answers of the other cores to the leader repeatedly; the leader's messages reach them. */
    void loseAnswers()
    {
        Fault fault;
        fault.kind = FaultKind::BreakCoreLinks;
        for (int loss = 0; loss < lossesPerRound; ++loss) {
            this->cell.begin(fault);
            absl::SleepFor(holdTime);
            this->cell.end(fault);
            absl::SleepFor(pauseTime);
        }
    }
};

/** All tasks run on one worker, which keeps its id when it restarts. */
class DeposedLeaderFixture : public CellFixture
{
public:
    DeposedLeaderFixture()
    {
        for (std::uint32_t other = 0; other < this->sizes.workers; ++other) {
            if (other != worker) {
                this->cell.begin(faultOf(FaultKind::ReduceCapacity, other));
            }
        }
        absl::SleepFor(absl::Seconds(1)); // The workers announce it with their next heartbeats.
        for (int job = 0; job < earlierEnds; ++job) {
            REQUIRE(this->traffic.submitUntilAccepted(acceptTimeout));
        }
        REQUIRE(this->isSettledInTime());
    }

    static Fault faultOf(FaultKind kind, std::uint32_t target)
    {
        Fault fault;
        fault.kind = kind;
        fault.target = target;
        return fault;
    }

    bool isSettledInTime()
    {
        const auto isSettled = [this] {
            this->traffic.queryUnsettledJobs();
            return this->checker.unsettled().empty();
        };
        return waitUntil(isSettled, settleTimeout);
    }

    /** Waits until another leader than the one of @p term serves. */
    std::uint32_t leaderAfter(std::uint64_t term)
    {
        REQUIRE(waitUntil([this, term] { return this->cell.leader().first > term; }));
        return this->cell.leader().second.value();
    }

    /** Submits jobs whose starts get no answer, and pauses the leader that has sent them. @return the pause, which the caller ends */
    Fault pauseLeaderDuringStarts()
    {
        const Fault pause = faultOf(FaultKind::PauseCore, this->cell.leader().second.value());
        const Fault lostAnswers = faultOf(FaultKind::LoseWorkerAnswers, worker);
        const std::size_t starts = this->checker.startCount();
        this->cell.begin(lostAnswers);
        for (std::size_t job = 0; job < startsBeforePause; ++job) {
            REQUIRE(this->traffic.submitUntilAccepted(acceptTimeout, taskTime));
        }
        REQUIRE(waitUntil([this, starts] { return this->checker.startCount() >= starts + startsBeforePause; }));
        this->cell.begin(pause);
        this->cell.end(lostAnswers);
        return pause;
    }

    static constexpr std::uint32_t worker = 1;
};

/** Three voters, and a core that stands by to replace one. */
class ReplacementFixture : public CellFixture
{
public:
    ReplacementFixture()
        : CellFixture(4)
    {
        REQUIRE(waitUntil([this] { return this->cell.isCaughtUp(); }));
    }

    /** The faults last longer than the test: the cores don't return. */
    void begin(FaultKind kind, std::uint32_t core)
    {
        Fault fault;
        fault.kind = kind;
        fault.target = core;
        fault.length = absl::Hours(1);
        this->cell.begin(fault);
    }
};

} // namespace

// Guards against LOST and CONFIG: a voter that is replaced as planned kept its vote until its silence had lasted 2.5 s, and the loss of another
// voter before that ended the group.
TEST_CASE_METHOD(ReplacementFixture, "leaderStoppedForGood_besideCaughtUpCore_nextLeaderMayBeLostAtOnce")
{
    const auto [term, stopped] = this->cell.leader();
    this->begin(FaultKind::StopCore, stopped.value());
    REQUIRE(waitUntil([this, core = *stopped] { return this->cell.hasEnded(core); }));
    REQUIRE(waitUntil([this, before = term] { return this->cell.leader().first > before; }));
    this->begin(FaultKind::KillCore, this->cell.leader().second.value());
    CHECK(this->traffic.submitUntilAccepted(recoveryTime));
    CHECK_THAT(this->checker.violations(), Catch::Equals(std::vector<std::string>{}));
}

TEST_CASE_METHOD(LinkLossFixture, "submission_afterAnswersToTheLeaderWereLostRepeatedly_isAccepted")
{
    REQUIRE(waitUntil([this] { return this->cell.leader().second.has_value(); }));
    for (int round = 0; round < rounds; ++round) {
        this->loseAnswers();
        CAPTURE(round, this->cell.leader().first);
        REQUIRE(this->traffic.submitUntilAccepted(acceptTimeout).has_value());
    }
    CHECK_THAT(this->checker.violations(), Catch::Equals(std::vector<std::string>{}));
}

// Guards against TWICE: a leader that is paused with an unanswered start and an unanswered poll, and replaced meanwhile, sends both again when it
// resumes. The next incarnation of their worker executes the start and discards its end, so that the task is started once more.
TEST_CASE_METHOD(DeposedLeaderFixture, "leaderPausedDuringStarts_resumedAfterItsWorkerRestarted_causesNoSecondRun")
{
    for (int round = 0; round < pauseRounds; ++round) {
        CAPTURE(round);
        const std::uint64_t term = this->cell.leader().first;
        const Fault crash = faultOf(FaultKind::CrashWorker, worker);
        const Fault pause = this->pauseLeaderDuringStarts();
        this->cell.begin(crash);
        const Fault pauseOfNext = faultOf(FaultKind::PauseCore, this->leaderAfter(term));
        this->cell.begin(pauseOfNext);
        const std::uint64_t nextTerm = this->cell.leader().first;
        this->cell.end(crash);
        absl::SleepFor(linkRestoreTime);
        this->cell.end(pause);
        this->leaderAfter(nextTerm);
        this->cell.end(pauseOfNext);
        REQUIRE(this->isSettledInTime());
        CHECK_THAT(this->checker.violations(), Catch::Equals(std::vector<std::string>{}));
        CHECK_THAT(this->cell.violations(), Catch::Equals(std::vector<std::string>{}));
    }
}

} // namespace paddlepier::testing::soak
