// Client through which the command line calls an entry instance.

#include "paddlepier/cli/client.h"

#include "paddlepier/http/httpclient.h"

#include <absl/strings/str_cat.h>

namespace paddlepier::cli
{

namespace
{

constexpr Duration callTimeout = absl::Seconds(10);

} // namespace

Client::Client(std::string serverAddress, std::string bearerToken)
    : server(std::move(serverAddress))
    , token(std::move(bearerToken))
{
}

std::string Client::callBytes(rpc::Method method, const std::string &request) const
{
    http::OutgoingRequest outgoing;
    outgoing.url = absl::StrCat("http://", this->server, "/v1/", rpc::CallCatalog::instance().info(method).name);
    outgoing.headers = {{"Content-Type", "application/x-flatbuffers"}, {"Authorization", absl::StrCat("Bearer ", this->token)}};
    outgoing.body = request;
    outgoing.timeout = callTimeout;
    const http::TransferResult result = http::fetch(outgoing);
    if (!result.isComplete) {
        throw DataCentreUnreachableError(absl::StrCat("no answer from ", this->server, ": ", result.error));
    }
    if (result.response.status != 200) {
        const wire::ErrorReplyT error = rpc::errorFromJson(result.response.body);
        throw Error(error.error, error.message);
    }
    return result.response.body;
}

} // namespace paddlepier::cli
