// QuickRouter: directed cases, and random requests and failures that an oracle checks.

#include "paddlepier/routing/quickrouter.h"

#include "testing/property.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <random>

using namespace paddlepier;
using namespace paddlepier::routing;

namespace
{

wire::SharesReplyT sharesOf(const std::map<std::string, std::uint32_t> &slots)
{
    wire::SharesReplyT reply;
    reply.leaseMillis = 1500;
    for (const auto &[worker, count] : slots) {
        auto share = std::make_unique<wire::ShareT>();
        share->worker = worker;
        share->address = "127.0.0.1:1";
        share->slots = count;
        share->connections = 8;
        reply.shares.push_back(std::move(share));
    }
    return reply;
}

class QuickRouterFixture
{
protected:
    /** Submits a request and returns the single attempt that it causes. */
    Attempt submitOne(QuickRouter &router, std::uint64_t id, bool isIdempotent)
    {
        router.submit(this->now, {id, this->now + absl::Seconds(2), isIdempotent, true});
        const std::vector<Attempt> attempts = router.drainAttempts();
        REQUIRE(attempts.size() == 1);
        return attempts[0];
    }

    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
};

/** Runs random requests, answers and losses. @return the first violation of the router's guarantees, if any */
std::optional<std::string> runScenario(std::uint64_t seed, RouterGuards guards)
{
    std::mt19937_64 random(seed);
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    RouterLimits limits;
    limits.maxRequestTime = absl::Seconds(2);
    QuickRouter router(limits, seed, guards);
    const std::map<std::string, std::uint32_t> slots{{"w1", 3}, {"w2", 2}};
    struct SentAttempt {
        Attempt attempt;
        Timestamp workerEnd;
        Timestamp reportedAt;
        AttemptEnd end = AttemptEnd::Answered;
    };
    std::vector<SentAttempt> sentAttempts;
    std::map<std::uint64_t, bool> idempotent;
    std::map<std::uint64_t, std::size_t> possibleRuns;
    std::map<std::uint64_t, std::size_t> finished;
    std::uint64_t nextId = 1;
    for (int step = 0; step < 800; ++step) {
        now += absl::Milliseconds(10);
        if (step % 20 == 0) {
            router.setShares(now, now, sharesOf(slots));
        }
        if (random() % 3 > 0 && step < 600) {
            const bool isIdempotent = random() % 2 == 0;
            idempotent[nextId] = isIdempotent;
            router.submit(now, {nextId++, now + absl::Milliseconds(100 + random() % 900), isIdempotent, false});
        }
        for (std::size_t index = 0; index < sentAttempts.size();) {
            if (sentAttempts[index].reportedAt > now) {
                ++index;
                continue;
            }
            const SentAttempt sentAttempt = sentAttempts[index];
            sentAttempts[index].reportedAt = absl::InfiniteFuture();
            router.recordAttemptEnd(now, sentAttempt.attempt.id, sentAttempt.end);
        }
        router.tick(now);
        for (const Attempt &attempt : router.drainAttempts()) {
            SentAttempt sentAttempt;
            sentAttempt.attempt = attempt;
            const std::uint64_t fate = random() % 10;
            sentAttempt.end = fate == 0 ? AttemptEnd::Broken : fate == 1 ? AttemptEnd::NotSent : fate == 2 ? AttemptEnd::Refused : AttemptEnd::Answered;
            const bool runs = sentAttempt.end == AttemptEnd::Answered || sentAttempt.end == AttemptEnd::Broken;
            sentAttempt.workerEnd = runs ? now + absl::Milliseconds(20 + random() % 1900) : now;
            sentAttempt.reportedAt = sentAttempt.end == AttemptEnd::Broken ? now + absl::Milliseconds(10) : sentAttempt.workerEnd;
            sentAttempts.push_back(sentAttempt);
            possibleRuns[attempt.request] += runs ? 1 : 0;
            if (possibleRuns[attempt.request] > 1 && !idempotent[attempt.request]) {
                return "a request that must not be repeated was sent twice";
            }
        }
        std::map<std::string, std::uint32_t> inUse;
        for (const SentAttempt &sentAttempt : sentAttempts) {
            inUse[sentAttempt.attempt.target] += sentAttempt.workerEnd > now ? 1 : 0;
        }
        for (const auto &[worker, count] : inUse) {
            if (count > slots.at(worker)) {
                return absl::StrCat(worker, " had ", count, " requests in flight at a time");
            }
        }
        for (const Finished &result : router.drainFinished()) {
            if (++finished[result.request] > 1) {
                return "a request was finished twice";
            }
            if (result.outcome == wire::RequestOutcome::NotRun && possibleRuns[result.request] > 0) {
                return "a request that may have run was reported as NotRun";
            }
            if (result.outcome == wire::RequestOutcome::NotRun && result.retryAfter <= absl::ZeroDuration()) {
                return "a request that was not run has no retryAfter";
            }
        }
    }
    return finished.size() + 1 == nextId ? std::nullopt : std::make_optional<std::string>("a request was never finished");
}

bool violatesInSomeScenario(RouterGuards guards)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        if (runScenario(seed, guards)) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("router_anyFaults_respectsSharesAndReportsTrueOutcomes", "[proof][fuzz]")
{
    for (std::uint64_t number = 1; number <= testing::scenarios(100); ++number) {
        const std::uint64_t seed = number + testing::seedBase();
        const std::optional<std::string> violation = runScenario(seed, {});
        INFO("seed " << seed << ": " << violation.value_or(""));
        REQUIRE_FALSE(violation);
    }
}

TEST_CASE("router_shareIgnored_isCaught", "[proof][red]")
{
    RouterGuards guards;
    guards.respectShare = false;
    REQUIRE(violatesInSomeScenario(guards));
}

TEST_CASE("router_slotOfBrokenAttemptReleasedEarly_isCaught", "[proof][red]")
{
    RouterGuards guards;
    guards.holdSlotOfBrokenAttempt = false;
    REQUIRE(violatesInSomeScenario(guards));
}

TEST_CASE("router_nonIdempotentRequestRepeated_isCaught", "[proof][red]")
{
    RouterGuards guards;
    guards.retryOnlyIdempotent = false;
    REQUIRE(violatesInSomeScenario(guards));
}

TEST_CASE_METHOD(QuickRouterFixture, "submit_withoutAnyShare_endsNotRunAtOnce")
{
    QuickRouter router({}, 1);
    router.submit(this->now, {1, this->now + absl::Seconds(2), true, false});
    const std::vector<Finished> finished = router.drainFinished();
    REQUIRE(finished.size() == 1);
    REQUIRE(finished[0].outcome == wire::RequestOutcome::NotRun);
    REQUIRE(finished[0].reason == GiveUpReason::NoShare);
}

TEST_CASE_METHOD(QuickRouterFixture, "attempt_hangsAndIsIdempotent_isRetriedAtAnotherWorker")
{
    QuickRouter router({}, 1);
    router.setShares(this->now, this->now, sharesOf({{"w1", 1}, {"w2", 1}}));
    const Attempt first = this->submitOne(router, 1, true);
    this->now += absl::Seconds(1);
    router.tick(this->now);
    const std::vector<Attempt> second = router.drainAttempts();
    REQUIRE(second.size() == 1);
    REQUIRE(second[0].target != first.target);
}

TEST_CASE_METHOD(QuickRouterFixture, "attempt_brokenAndNotIdempotent_endsUnknown")
{
    QuickRouter router({}, 1);
    router.setShares(this->now, this->now, sharesOf({{"w1", 2}}));
    const Attempt attempt = this->submitOne(router, 1, false);
    router.recordAttemptEnd(this->now, attempt.id, AttemptEnd::Broken);
    REQUIRE(router.drainAttempts().empty());
    REQUIRE(router.drainFinished().at(0).outcome == wire::RequestOutcome::Unknown);
}

TEST_CASE_METHOD(QuickRouterFixture, "worker_failsEveryRequest_isEjected")
{
    QuickRouter router({}, 1);
    router.setShares(this->now, this->now, sharesOf({{"bad", 8}, {"good1", 8}, {"good2", 8}}));
    std::size_t lateAttemptsToBad = 0;
    for (std::uint64_t id = 1; id <= 200; ++id) {
        const Attempt attempt = this->submitOne(router, id, false);
        lateAttemptsToBad += id > 100 && attempt.target == "bad" ? 1 : 0;
        router.recordAttemptEnd(this->now, attempt.id, attempt.target == "bad" ? AttemptEnd::Failed : AttemptEnd::Answered);
        router.drainFinished();
    }
    REQUIRE(lateAttemptsToBad == 0);
}
