// ShareAllocator under random requests, lost replies, restarts and leader changes. An oracle sums up the slots in use.

#include "paddlepier/routing/shareallocator.h"

#include "paddlepier/base/error.h"
#include "testing/property.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <optional>
#include <random>

using namespace paddlepier;
using namespace paddlepier::routing;

namespace
{

constexpr std::uint32_t slots = 8;
constexpr Duration stepTime = absl::Milliseconds(50);
constexpr Duration lease = absl::Milliseconds(1500);
constexpr Duration maxRequestTime = absl::Seconds(3);
constexpr std::uint64_t redScenarios = 300;

/** An entry instance that uses its share of one worker to the full. */
struct FakeEntry {
    std::string name;
    std::uint64_t incarnation = 1;
    Timestamp startedAt = absl::InfinitePast();
    std::uint64_t sequence = 0;
    std::uint64_t answered = 0;
    std::uint32_t cap = 0;
    Timestamp leaseEnd;
    /** Ends of the requests in flight of this process. */
    std::vector<Timestamp> inFlight;
    /** Ends of the requests in flight of its earlier incarnations. */
    std::vector<Timestamp> orphaned;
    bool frozen = false;
    std::optional<std::pair<Timestamp, wire::SharesReplyT>> reply;
    Timestamp sentAt;
};

class FakeEntries
{
public:
    FakeEntries(std::uint64_t seed, ShareGuards shareGuards)
        : random(seed)
        , guards(shareGuards)
    {
        for (const char *name : {"a", "b", "c"}) {
            FakeEntry entry;
            entry.name = name;
            this->entries.push_back(std::move(entry));
        }
        this->elect();
    }

    std::optional<std::string> run()
    {
        for (int step = 0; step < 1500 && !this->firstViolation; ++step) {
            this->now += stepTime;
            this->injectFault();
            for (FakeEntry &entry : this->entries) {
                this->advanceEntry(entry);
            }
            this->checkSlotsInUse();
        }
        return this->firstViolation;
    }

    /** Sum of the shares of all instances after a period of low demand without injected faults. */
    std::uint32_t sumOfSharesAfterIdlePeriod()
    {
        this->isIdle = true;
        for (int step = 0; step < 400; ++step) {
            this->now += stepTime;
            for (FakeEntry &entry : this->entries) {
                this->advanceEntry(entry);
            }
        }
        std::uint32_t sum = 0;
        for (const FakeEntry &entry : this->entries) {
            sum += entry.cap;
        }
        return sum;
    }

private:
    std::size_t randomBelow(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(this->random);
    }

    void elect()
    {
        const ShareTiming timing{lease, maxRequestTime, 10};
        this->allocator =
            std::make_unique<ShareAllocator>(std::map<std::string, std::vector<std::string>>{{"p", {"a", "b", "c"}}}, timing, this->now, this->guards);
    }

    void injectFault()
    {
        FakeEntry &entry = this->entries[this->randomBelow(this->entries.size())];
        switch (this->randomBelow(60)) {
        case 0:
            entry.frozen = !entry.frozen;
            break;
        case 1:
            // The entry instance is killed and restarted; its requests continue at the worker.
            entry.orphaned.insert(entry.orphaned.end(), entry.inFlight.begin(), entry.inFlight.end());
            entry.inFlight.clear();
            entry.cap = 0;
            entry.sequence = 0;
            entry.answered = 0;
            entry.reply.reset();
            ++entry.incarnation;
            entry.startedAt = this->now;
            break;
        case 2:
            this->elect();
            break;
        default:
            break;
        }
    }

    void advanceEntry(FakeEntry &entry)
    {
        const auto hasEnded = [this](Timestamp end) { return end <= this->now; };
        std::erase_if(entry.inFlight, hasEnded);
        std::erase_if(entry.orphaned, hasEnded);
        if (entry.frozen) {
            return;
        }
        if (entry.reply && entry.reply->first <= this->now) {
            entry.cap = entry.reply->second.isChange ? entry.cap : 0;
            entry.answered = entry.sequence;
            for (const auto &share : entry.reply->second.shares) {
                entry.cap = share->slots;
            }
            entry.leaseEnd = entry.sentAt + lease;
            entry.reply.reset();
        }
        while (this->now < entry.leaseEnd && entry.inFlight.size() < entry.cap && this->randomBelow(4) > 0) {
            entry.inFlight.push_back(this->now + stepTime * (1 + this->randomBelow(static_cast<std::size_t>(maxRequestTime / stepTime))));
        }
        if (this->randomBelow(4) == 0) {
            this->renew(entry);
        }
    }

    void renew(FakeEntry &entry)
    {
        wire::SharesRequestT request;
        request.instance = entry.name;
        request.partner = "p";
        request.incarnation = entry.incarnation;
        const Duration age = std::min(this->now - entry.startedAt, absl::Hours(1));
        request.ageMillis = static_cast<std::uint64_t>(absl::ToInt64Milliseconds(age));
        request.sequence = ++entry.sequence;
        request.baseSequence = entry.answered;
        request.demand = this->isIdle ? 1 : static_cast<std::uint32_t>(this->randomBelow(30));
        auto use = std::make_unique<wire::ShareUseT>();
        use->worker = "w";
        use->cap = entry.cap;
        use->inUse = static_cast<std::uint32_t>(entry.inFlight.size());
        request.isComplete = entry.answered == 0 || entry.answered + 1 != entry.sequence;
        if (request.isComplete || use->inUse > use->cap) {
            request.uses.push_back(std::move(use));
        }
        entry.sentAt = this->now;
        entry.reply.reset();
        wire::SharesReplyT reply;
        try {
            reply = this->allocator->allocate(this->now, request, {{"w", "127.0.0.1:1", slots, 64, 0, false}});
        } catch (const ConflictError &) {
            entry.answered = 0;
            return;
        }
        if (this->randomBelow(4) > 0) {
            entry.reply = std::make_pair(this->now + stepTime * this->randomBelow(4), std::move(reply));
        }
    }

    void checkSlotsInUse()
    {
        std::size_t used = 0;
        for (const FakeEntry &entry : this->entries) {
            used += entry.inFlight.size() + entry.orphaned.size();
        }
        if (used > slots) {
            this->firstViolation = absl::StrCat(used, " requests in flight at a worker of ", slots, " slots");
        }
    }

    std::mt19937_64 random;
    const ShareGuards guards;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::unique_ptr<ShareAllocator> allocator;
    std::vector<FakeEntry> entries;
    bool isIdle = false;
    std::optional<std::string> firstViolation;
};

bool violatesInSomeScenario(ShareGuards guards)
{
    for (std::uint64_t seed = 1; seed <= redScenarios; ++seed) {
        if (FakeEntries(seed, guards).run()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("shares_anyFaults_neverExceedSlots", "[proof][fuzz]")
{
    for (std::uint64_t number = 1; number <= testing::scenarios(200); ++number) {
        const std::uint64_t seed = number + testing::seedBase();
        const std::optional<std::string> violation = FakeEntries(seed, {}).run();
        INFO("seed " << seed << ": " << violation.value_or(""));
        REQUIRE_FALSE(violation);
    }
}

TEST_CASE("shares_idleEntries_allSlotsAreAllocated")
{
    REQUIRE(FakeEntries(1, {}).sumOfSharesAfterIdlePeriod() == slots);
}

TEST_CASE("shares_heldSlotsNotCounted_isCaught", "[proof][red]")
{
    ShareGuards guards;
    guards.countHeld = false;
    REQUIRE(violatesInSomeScenario(guards));
}

TEST_CASE("shares_newLeaderNotWaitingForEntries_isCaught", "[proof][red]")
{
    ShareGuards guards;
    guards.waitForEntries = false;
    REQUIRE(violatesInSomeScenario(guards));
}

TEST_CASE("allocate_unknownEntry_isRejected")
{
    ShareAllocator allocator({{"p", {"a"}}}, {lease, maxRequestTime, 10}, absl::UnixEpoch());
    wire::SharesRequestT request;
    request.partner = "p";
    request.instance = "x";
    request.sequence = 1;
    request.isComplete = true;
    REQUIRE_THROWS_AS(allocator.allocate(absl::UnixEpoch(), request, {}), ConflictError);
}
