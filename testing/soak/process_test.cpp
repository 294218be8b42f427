// End-to-end tests of the real processes while messages between the cores are lost.

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

/** Includes a change of the leader. */
constexpr Duration acceptTimeout = absl::Seconds(6);

class LinkLossFixture
{
public:
    LinkLossFixture()
    {
        REQUIRE(this->traffic.configure(absl::Seconds(20)));
        REQUIRE(this->traffic.submitUntilAccepted(absl::Seconds(20)));
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
    static inline const Sizes sizes{3, 2, 4, absl::ZeroDuration()};

    const Folder folder;
    Checker checker;
    Cell cell{sizes, seed, folder.path, PADDLEPIER_PROGRAMS, checker};
    Traffic traffic{cell, sizes, seed, checker};
};

} // namespace

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

} // namespace paddlepier::testing::soak
