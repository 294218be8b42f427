// Job files must map every key to the job's specification and reject invalid ones with file, line and key. The call catalogue
// must list every call of the schema and convert calls to JSON and back without loss.

#include "paddlepier/cli/jobfile.h"

#include "paddlepier/base/error.h"
#include "paddlepier/rpc/callcatalog.h"
#include "paddlepier/wire/codec.h"

#include <catch2/catch.hpp>

using namespace paddlepier;

TEST_CASE("parseJobFile_validKeys_areCopiedToSpec")
{
    const wire::JobSpecT spec =
        cli::parseJobFile("[job]\nname = \"x\"\nkind = \"gang\"\ntasks = 4\nmilliProcessors = 500\naccelerators = 1\nurgent = true\n", "f");
    REQUIRE(spec.kind == wire::JobKind::Gang);
    REQUIRE(spec.tasks == 4);
    REQUIRE(spec.resources.accelerators() == 1);
    REQUIRE(spec.urgent);
}

TEST_CASE("parseJobFile_invalidValue_errorNamesLineAndKey")
{
    REQUIRE_THROWS_WITH(cli::parseJobFile("[job]\nname = \"x\"\nkind = \"night\"\n", "f"), "f:3: job.kind: \"night\" is not one of service, batch, gang");
    REQUIRE_THROWS_WITH(cli::parseJobFile("[job]\nname = \"x\"\nkind = \"batch\"\ntasks = 0\n", "f"), "f:4: job.tasks: must be from 1 to 10000, is 0");
    REQUIRE_THROWS_AS(cli::parseJobFile("name = 1", "f"), InvalidSettingsError);
}

TEST_CASE("catalog_everyCallOfSchema_hasMethodAndRoute")
{
    const rpc::CallCatalog &catalog = rpc::CallCatalog::instance();
    REQUIRE(catalog.calls().size() == 13);
    REQUIRE(catalog.findRoute("/v1/JobService/Submit")->method == rpc::Method::Submit);
    REQUIRE(catalog.findRoute("/v1/InstanceService/Begin") == nullptr);
    REQUIRE(catalog.findRoute("/v2/JobService/Submit") == nullptr);
}

TEST_CASE("catalog_jsonRoundTrip_preservesFields")
{
    const rpc::CallCatalog &catalog = rpc::CallCatalog::instance();
    const rpc::CallInfo &call = catalog.info(rpc::Method::Cancel);
    const std::string bytes = catalog.requestFromJson(call, R"({"job":"atlanta-1.17"})");
    REQUIRE(wire::unpack<wire::CancelRequestT>(bytes).job == "atlanta-1.17");
    REQUIRE_THAT(catalog.requestToJson(call, bytes), Catch::Matchers::Contains("atlanta-1.17"));
    REQUIRE_THROWS_AS(catalog.requestFromJson(call, "{\"job\":1}"), MalformedBodyError);
    REQUIRE_THROWS_AS(catalog.requestFromJson(call, "{\"unknown\":\"1\"}"), MalformedBodyError);
}
