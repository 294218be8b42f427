// Configuration: versions only go forward, whatever comes, also over restarts.

#include "paddlepier/instance/configurationstore.h"

#include "paddlepier/base/error.h"
#include "paddlepier/ledger/ledger.h"
#include "testing/property.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <unistd.h>

#include <filesystem>
#include <random>

using namespace paddlepier;
using namespace paddlepier::instance;

namespace
{

wire::ConfigurationT versionOf(std::uint64_t version)
{
    wire::ConfigurationT configuration;
    configuration.version = version;
    configuration.revision = absl::StrCat("r", version);
    configuration.text = absl::StrCat("[quick]\nqueuedRequests = ", version, "\n");
    return configuration;
}

class ConfigurationKeeperFixture
{
protected:
    ~ConfigurationKeeperFixture()
    {
        std::filesystem::remove_all(this->folder);
    }

    /** Old and new versions in any order, with restarts in between. @return true if a version was ever taken back */
    bool goesBack(std::uint64_t seed, ConfigurationGuards guards)
    {
        std::filesystem::remove_all(this->folder);
        std::mt19937_64 random(seed);
        std::uint64_t newest = 0;
        std::uint64_t inForce = 0;
        bool wentBack = false;
        const auto changed = [&](const DeploymentConfiguration &configuration) {
            wentBack = wentBack || configuration.queuedRequests < inForce;
            inForce = configuration.queuedRequests;
        };
        auto keeper = std::make_unique<ConfigurationKeeper>(this->folder, changed, guards);
        for (int step = 0; step < 40; ++step) {
            if (random() % 5 == 0) {
                keeper = std::make_unique<ConfigurationKeeper>(this->folder, changed, guards);
            }
            newest += random() % 2;
            keeper->offer(versionOf(1 + random() % (newest + 1)));
        }
        return wentBack;
    }

    const std::string folder = (std::filesystem::temp_directory_path() / absl::StrCat("paddlepier-configuration-", ::getpid())).string();
};

wire::LedgerEntryT changeOf(std::uint64_t expected, const std::string &text)
{
    wire::ChangeConfigurationT command;
    command.expectedVersion = expected;
    command.revision = text;
    command.text = text;
    wire::LedgerEntryT entry;
    entry.command.Set(std::move(command));
    return entry;
}

} // namespace

TEST_CASE_METHOD(ConfigurationKeeperFixture, "keeper_anyOrderAndRestarts_neverGoesBack", "[proof][fuzz]")
{
    for (std::uint64_t number = 1; number <= testing::scenarios(20); ++number) {
        REQUIRE_FALSE(this->goesBack(number + testing::seedBase(), {}));
    }
}

TEST_CASE_METHOD(ConfigurationKeeperFixture, "keeper_takingAnyVersion_isCaught", "[proof][red]")
{
    REQUIRE(this->goesBack(1, {false}));
}

TEST_CASE("change_againstOldVersion_isConflict")
{
    ledger::Ledger ledger;
    REQUIRE(ledger.apply(changeOf(0, "a")).version == 1);
    REQUIRE(ledger.apply(changeOf(0, "b")).error == ErrorCode::Conflict);
    REQUIRE(ledger.apply(changeOf(0, "a")).alreadyKnown);
    REQUIRE(ledger.apply(changeOf(1, "b")).version == 2);
    ledger::Ledger restored;
    restored.restore(ledger.snapshot());
    REQUIRE(restored.configuration().version == 2);
}

TEST_CASE("configuration_mistakes_nameLineAndKey")
{
    REQUIRE_THROWS_WITH(parseConfiguration("[quick]\nretries = 1\n", "c"), "c:2: quick.retries: is not a known key");
    REQUIRE_THROWS_WITH(parseConfiguration("[partners.north]\nquotaPercent = 101\n", "c"), "c:2: partners.north.quotaPercent: must be from 0 to 100, is 101");
    const DeploymentConfiguration changed = parseConfiguration("[partners.north]\nquotaPercent = 40\n", "c");
    REQUIRE(describeChanges({}, changed) == std::vector<std::string>{"partners.north.quotaPercent: none -> 40"});
}
