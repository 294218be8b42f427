// Shares: random entries, losses, restarts and leader changes, with an oracle that adds up what may be in use.

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
constexpr Duration longestRequest = absl::Seconds(3);
constexpr std::uint64_t mutantScenarios = 300;

/** An entry that uses its share of one worker as greedily as it may. */
struct FakeEntry {
    std::string name;
    std::uint64_t incarnation = 1;
    Timestamp startedAt = absl::InfinitePast();
    std::uint64_t sequence = 0;
    std::uint64_t answered = 0;
    std::uint32_t cap = 0;
    Timestamp leaseEnd;
    /** Ends of requests in flight; those of earlier runs of the process included. */
    std::vector<Timestamp> inFlight;
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
        for (int step = 0; step < 1500 && !this->broken; ++step) {
            this->now += stepTime;
            this->inject();
            for (FakeEntry &entry : this->entries) {
                this->work(entry);
            }
            this->look();
        }
        return this->broken;
    }

    /** Slots held by all entries after a quiet time. */
    std::uint32_t capsAfterQuiet()
    {
        this->isQuiet = true;
        for (int step = 0; step < 400; ++step) {
            this->now += stepTime;
            for (FakeEntry &entry : this->entries) {
                this->work(entry);
            }
        }
        std::uint32_t sum = 0;
        for (const FakeEntry &entry : this->entries) {
            sum += entry.cap;
        }
        return sum;
    }

private:
    std::size_t chance(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(this->random);
    }

    void elect()
    {
        const ShareTiming timing{lease, longestRequest, 10};
        this->dealer = std::make_unique<ShareDealer>(std::map<std::string, std::vector<std::string>>{{"p", {"a", "b", "c"}}}, timing, this->now, this->guards);
    }

    void inject()
    {
        FakeEntry &entry = this->entries[this->chance(this->entries.size())];
        switch (this->chance(60)) {
        case 0:
            entry.frozen = !entry.frozen;
            break;
        case 1:
            // A killed and restarted entry: its requests go on at the worker.
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

    void work(FakeEntry &entry)
    {
        const auto isOver = [this](Timestamp end) { return end <= this->now; };
        std::erase_if(entry.inFlight, isOver);
        std::erase_if(entry.orphaned, isOver);
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
        while (this->now < entry.leaseEnd && entry.inFlight.size() < entry.cap && this->chance(4) > 0) {
            entry.inFlight.push_back(this->now + stepTime * (1 + this->chance(static_cast<std::size_t>(longestRequest / stepTime))));
        }
        if (this->chance(4) == 0) {
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
        request.demand = this->isQuiet ? 1 : static_cast<std::uint32_t>(this->chance(30));
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
            reply = this->dealer->deal(this->now, request, {{"w", "127.0.0.1:1", slots, 64, 0, false}});
        } catch (const ConflictError &) {
            entry.answered = 0;
            return;
        }
        if (this->chance(4) > 0) {
            entry.reply = std::make_pair(this->now + stepTime * this->chance(4), std::move(reply));
        }
    }

    void look()
    {
        std::size_t used = 0;
        for (const FakeEntry &entry : this->entries) {
            used += entry.inFlight.size() + entry.orphaned.size();
        }
        if (used > slots) {
            this->broken = absl::StrCat(used, " requests at a worker of ", slots, " slots");
        }
    }

    std::mt19937_64 random;
    const ShareGuards guards;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::unique_ptr<ShareDealer> dealer;
    std::vector<FakeEntry> entries;
    bool isQuiet = false;
    std::optional<std::string> broken;
};

bool isBroken(ShareGuards guards)
{
    for (std::uint64_t seed = 1; seed <= mutantScenarios; ++seed) {
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

TEST_CASE("shares_quietEntries_dealAllSlots")
{
    REQUIRE(FakeEntries(1, {}).capsAfterQuiet() == slots);
}

TEST_CASE("shares_notCountingWhatIsHeld_isCaught", "[proof][red]")
{
    ShareGuards guards;
    guards.countHeld = false;
    REQUIRE(isBroken(guards));
}

TEST_CASE("shares_newLeaderNotWaitingForEntries_isCaught", "[proof][red]")
{
    ShareGuards guards;
    guards.waitForEntries = false;
    REQUIRE(isBroken(guards));
}

TEST_CASE("deal_unknownEntry_isRefused")
{
    ShareDealer dealer({{"p", {"a"}}}, {lease, longestRequest, 10}, absl::UnixEpoch());
    wire::SharesRequestT request;
    request.partner = "p";
    request.instance = "x";
    request.sequence = 1;
    request.isComplete = true;
    REQUIRE_THROWS_AS(dealer.deal(absl::UnixEpoch(), request, {}), ConflictError);
}
