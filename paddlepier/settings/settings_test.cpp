// Settings: each kind of invalid setting must be rejected with a typed error that names the file, line and key, before the
// instance starts.

#include "paddlepier/settings/settings.h"

#include "paddlepier/base/error.h"

#include <catch2/catch.hpp>

using namespace paddlepier;

namespace
{

class SettingsFixture
{
protected:
    /** Parses a valid file with @p from replaced by @p to, or @p to appended if @p from is empty. @return the error; empty if accepted */
    std::string errorAfter(const std::string &from, const std::string &to) const
    {
        std::string text = this->valid;
        if (!from.empty()) {
            const std::size_t at = text.find(from);
            REQUIRE(at != std::string::npos);
            text.replace(at, from.size(), to);
        } else {
            text += to;
        }
        try {
            parseSettings(text, "x.toml");
        } catch (const InvalidSettingsError &error) {
            return error.what();
        }
        return "";
    }

    const std::string valid = R"([instance]
id = "a"
partner = "p"
dataCentre = "d"
dataFolder = "folder"
[listen]
http = "127.0.0.1:8100"
peer = "[::1]:9100"
[cell]
key = "long-enough"
[timing]
announceMillis = 1000
taskLeaseMillis = 10000
[[peers]]
id = "b"
partner = "p"
dataCentre = "d"
http = "127.0.0.1:8101"
peer = "127.0.0.1:9101"
[[ledgers]]
dataCentre = "d"
replicas = ["a", "b"]
[[tokens]]
token = "operator-1"
partner = "p"
role = "operator"
)";
};

} // namespace

TEST_CASE_METHOD(SettingsFixture, "parse_validFile_returnsAllValues")
{
    const Settings settings = parseSettings(this->valid, "x.toml");
    REQUIRE(settings.id == "a");
    REQUIRE(settings.peer.text() == "[::1]:9100");
    REQUIRE(settings.timing.taskLease == absl::Seconds(10));
    REQUIRE(settings.findLedger("d")->replicas.size() == 2);
    REQUIRE(settings.tokens[0].role == wire::Role::Operator);
    REQUIRE(settings.entryInstancesOf("p") == std::vector<std::string>{"a", "b"});
}

TEST_CASE_METHOD(SettingsFixture, "parse_invalidSetting_errorNamesFileLineAndKey")
{
    struct Row {
        std::string from;
        std::string to;
        std::string error;
    };
    const std::vector<Row> rows{
        {"id = \"a\"", "id = \"A_b\"", "x.toml:2: instance.id: must have"},
        {"id = \"a\"\n", "", "instance.id: is missing"},
        {"id = \"a\"", "id = 7", "x.toml:2: instance.id: must be a string"},
        {"id = \"a\"", "id = \"a\"\nsurprise = 1", "x.toml:3: instance.surprise: is not a known key"},
        {"http = \"127.0.0.1:8100\"", "http = \"localhost:8100\"", "x.toml:7: listen.http: \"localhost:8100\" is not a numeric"},
        {"http = \"127.0.0.1:8100\"", "http = \"127.0.0.1:70000\"", "listen.http"},
        {"key = \"long-enough\"", "key = \"short\"", "x.toml:10: cell.key: must have at least 8"},
        {"announceMillis = 1000", "announceMillis = -5", "x.toml:12: timing.announceMillis: must be from"},
        {"announceMillis = 1000", "announceMillis = 1.5", "timing.announceMillis: must be an integer"},
        {"taskLeaseMillis = 10000", "taskLeaseMillis = 1500", "timing.taskLeaseMillis: must be more than twice"},
        {"id = \"b\"", "id = \"a\"", "peers.id: \"a\" stands twice"},
        {"replicas = [\"a\", \"b\"]", "replicas = [\"a\", \"c\"]", "ledgers.replicas: \"c\" is neither"},
        {"replicas = [\"a\", \"b\"]", "replicas = [\"a\", \"a\"]", "ledgers.replicas: \"a\" stands twice"},
        {"replicas = [\"a\", \"b\"]", "replicas = []", "ledgers.replicas: must be an array"},
        {"dataFolder = \"folder\"\n", "", "ledgers.replicas: holds this instance, which has no dataFolder"},
        {"dataCentre = \"d\"\nreplicas", "dataCentre = \"e\"\nreplicas", "ledgers: has none for this instance's data centre"},
        {"role = \"operator\"", "role = \"king\"", "tokens.role: \"king\" is not one of"},
        {"[listen]", "[listen", "x.toml:6: syntax"},
        {"", "[limits]\ntrafficThreads = 0\n", "limits.trafficThreads: must be from 1 to 64, is 0"},
    };
    for (const Row &row : rows) {
        INFO(row.to);
        REQUIRE_THAT(this->errorAfter(row.from, row.to), Catch::Matchers::Contains(row.error));
    }
}

TEST_CASE("load_missingFile_throwsInvalidSettings")
{
    REQUIRE_THROWS_AS(loadSettings("no-such-file.toml"), InvalidSettingsError);
}
