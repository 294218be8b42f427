// Orders that arrive again, late, at workers that restart under their ids, while leaders are replaced: random scenarios in virtual time.
//
// Guards against TWICE. The processes send no order after its leader's term, and no acknowledgement of one incarnation's ends to the next (see
// execution/sendpermit.h and cluster/ordersender.h). The dispatcher must keep its promises under these guarantees, and the red tests show that it
// needs both.

#include "paddlepier/execution/dispatcherfixture.h"
#include "testing/property.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <deque>

namespace paddlepier::execution
{

namespace
{

struct Guarantees {
    /** No order leaves its process once another leader may have been elected. */
    bool ordersEndWithTheirTerm = true;
    /** Acknowledgements reach only the incarnation that has listed the ends. */
    bool acknowledgementsAreBound = true;
    /** No start leaves its process once its run is known to have started. */
    bool startsEndWithTheirRuns = true;
    /** No start leaves its process once its answer isn't awaited any more. */
    bool startsExpire = true;
};

class LateOrderFixture : public DispatcherFixture
{
public:
    LateOrderFixture(Guarantees processGuarantees, std::uint32_t seed)
        : guarantees(processGuarantees)
    {
        this->random.seed(seed);
        this->bindsAcknowledgements = this->guarantees.acknowledgementsAreBound;
        this->onCall = [this](const WorkerCall &call) { this->copyOrder(call); };
        this->onStep = [this] { this->deliverCopies(); };
        for (unsigned int number = 0; number < workerCount; ++number) {
            this->addWorker(absl::StrCat("w", number), 4000, "", true);
        }
        this->replaceLeader();
        this->networkFaults.answerLossPercent = 10;
    }

    void replaceLeader()
    {
        ++this->terms;
        // The deposed leader is paused, and what it has sent may still be sent again.
        this->deposed.push_back(std::move(this->dispatcher));
        this->electLeader();
    }

    /** @return the first violation, or the name of a job that doesn't end */
    std::string run()
    {
        constexpr int events = 8;
        for (int event = 0; event < events && this->workers.violations.empty(); ++event) {
            this->addJob(absl::StrCat("job", event), 1 + this->random() % 6, 50 + this->random() % 400, 1 + this->random() % 2);
            this->runFor(absl::Milliseconds(this->random() % 400));
            const std::string id = absl::StrCat("w", this->random() % workerCount);
            this->workers.workers[id].isCut = true;
            if (this->random() % 2 == 0) {
                this->replaceLeader();
            }
            this->runFor(absl::Milliseconds(100 + this->random() % 1000));
            this->workers.restart(this->now, id);
            this->runFor(absl::Milliseconds(this->random() % 600));
            if (this->random() % 2 == 0) {
                this->replaceLeader();
            }
            this->announce(id);
        }
        this->networkFaults = NetworkFaults();
        for (int event = 0; event < events && this->workers.violations.empty(); ++event) {
            const std::string job = absl::StrCat("job", event);
            if (!this->runUntil([&] { return this->state.findJob(job)->hasEnded() || !this->workers.violations.empty(); }, absl::Seconds(40))) {
                return job + " doesn't end";
            }
        }
        return this->workers.violations.empty() ? "" : this->workers.violations.front();
    }

private:
    struct Copy {
        Timestamp at;
        int term = 0;
        WorkerCall call;
    };

    void copyOrder(const WorkerCall &call)
    {
        if (this->random() % 2 == 0) {
            const Duration delay = absl::Milliseconds(this->random() % 4000);
            this->copies.push_back({this->now + delay, this->terms, call});
        }
    }

    void deliverCopies()
    {
        const std::deque<Copy> pending = std::exchange(this->copies, {});
        for (const Copy &copy : pending) {
            if (copy.at > this->now) {
                this->copies.push_back(copy);
                continue;
            }
            const bool isOfTerm = copy.term == this->terms || !this->guarantees.ordersEndWithTheirTerm;
            SendConditions conditions = copy.call.conditions;
            conditions.sendBy = this->guarantees.startsExpire ? conditions.sendBy : absl::InfiniteFuture();
            const bool isWanted = conditions.hold(this->now) || !this->guarantees.startsEndWithTheirRuns;
            if (!this->workers.workers[copy.call.worker.id].isCut && isOfTerm && isWanted) {
                this->execute(copy.call);
            }
        }
    }

    static constexpr unsigned int workerCount = 3;

    const Guarantees guarantees;
    int terms = 0;
    std::deque<Copy> copies;
    std::vector<std::unique_ptr<Dispatcher>> deposed;
};

std::string runScenario(Guarantees guarantees, std::uint64_t seed)
{
    LateOrderFixture fixture(guarantees, static_cast<std::uint32_t>(seed));
    return fixture.run();
}

/** Number of scenarios in which a missing guarantee must lead to a violation. */
constexpr std::uint64_t maxScenarios = 400;

bool findsViolation(Guarantees guarantees)
{
    for (std::uint64_t seed = 1; seed <= maxScenarios; ++seed) {
        if (!runScenario(guarantees, seed).empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("lateOrders_acrossRestartsAndLeaders_causeNoSecondRun", "[proof][fuzz]")
{
    for (std::uint64_t number = 1; number <= testing::scenarios(150); ++number) {
        const std::uint64_t seed = number + testing::seedBase();
        const std::string violation = runScenario({}, seed);
        CAPTURE(seed, violation);
        REQUIRE(violation.empty());
    }
}

TEST_CASE("lateOrders_ofEarlierTerms_areDetected", "[proof][red]")
{
    Guarantees guarantees;
    guarantees.ordersEndWithTheirTerm = false;
    // A start that expires seldom outlives its term.
    guarantees.startsExpire = false;
    CHECK(findsViolation(guarantees));
}

TEST_CASE("lateStarts_ofRunsThatHaveStarted_areDetected", "[proof][red]")
{
    Guarantees guarantees;
    guarantees.startsEndWithTheirRuns = false;
    CHECK(findsViolation(guarantees));
}

TEST_CASE("lateAcknowledgements_atTheNextIncarnation_areDetected", "[proof][red]")
{
    Guarantees guarantees;
    guarantees.acknowledgementsAreBound = false;
    CHECK(findsViolation(guarantees));
}

} // namespace paddlepier::execution
