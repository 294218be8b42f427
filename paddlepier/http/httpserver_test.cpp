// The HTTP server at its end.

#include "paddlepier/http/httpserver.h"

#include "paddlepier/http/httpclient.h"
#include "testing/harness.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <thread>

namespace paddlepier::http
{

namespace
{

class HttpServerFixture
{
public:
    HttpServerFixture()
    {
        LimitSettings limits;
        limits.trafficThreads = 1;
        this->server = std::make_unique<HttpServer>(this->endpoint, limits, [this](const std::shared_ptr<Exchange> &exchange) {
            const absl::MutexLock lock(&this->mutex);
            this->held.push_back(exchange);
        });
    }

    std::size_t heldExchanges()
    {
        const absl::MutexLock lock(&this->mutex);
        return this->held.size();
    }

    const Endpoint endpoint{"127.0.0.1", testing::freePort()};
    absl::Mutex mutex;
    std::vector<std::shared_ptr<Exchange>> held;
    std::unique_ptr<HttpServer> server;
};

} // namespace

TEST_CASE_METHOD(HttpServerFixture, "stop_withUnansweredExchanges_answersThemAndReturns")
{
    TransferResult result;
    std::thread caller([&] {
        OutgoingRequest request;
        request.method = "GET";
        request.url = absl::StrCat("http://", this->endpoint.text(), "/");
        result = fetch(request);
    });
    REQUIRE(testing::waitUntil([this] { return this->heldExchanges() == 1; }));
    this->server->stop(absl::Milliseconds(50));
    caller.join();
    CHECK(result.whole);
    CHECK(result.answer.status == 504);
    CHECK(result.answer.header("Retry-After") == "1");
}

} // namespace paddlepier::http
