// HTTP server: a planned stop with open exchanges.

#include "paddlepier/http/httpserver.h"

#include "paddlepier/http/httpclient.h"
#include "paddlepier/settings/socketaddress.h"
#include "testing/harness.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>
#include <vector>

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
    CHECK(result.isComplete);
    CHECK(result.response.status == 504);
    CHECK(result.response.header("Retry-After") == "1");
}

TEST_CASE_METHOD(HttpServerFixture, "request_receivedDuringStop_isRejectedAndNotExecuted")
{
    // Guards against a process aborting in a planned stop. After all suspended requests had been rejected, the body of another request
    // arrived, and that request was dispatched and suspended too; the library aborts if it is stopped while a connection is suspended.
    const int slow = ::socket(AF_INET, SOCK_STREAM, 0);
    const SocketAddress address = toSocketAddress(this->endpoint);
    REQUIRE(::connect(slow, address.pointer(), address.size) == 0);
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n";
    REQUIRE(::send(slow, head.data(), head.size(), 0) == static_cast<ssize_t>(head.size()));
    ssize_t sent = 0;
    std::thread caller([&] {
        OutgoingRequest request;
        request.method = "GET";
        request.url = absl::StrCat("http://", this->endpoint.text(), "/");
        fetch(request);
        // The suspended request has been rejected.
        sent = ::send(slow, "body", 4, 0);
    });
    REQUIRE(testing::waitUntil([this] { return this->heldExchanges() == 1 && this->server->activeExchanges() == 2; }));
    this->server->stop(absl::Milliseconds(50));
    caller.join();
    REQUIRE(sent == 4);
    std::array<char, 64> answer{};
    const ssize_t count = ::recv(slow, answer.data(), answer.size(), 0);
    ::close(slow);
    REQUIRE(count > 12);
    CHECK(std::string(answer.data(), 12) == "HTTP/1.1 503");
    CHECK(this->heldExchanges() == 1);
}

// Guards against a process that aborts in a planned stop: the listening socket was closed while a thread of the library still removed it from its set.
TEST_CASE("stop_ofManyServers_whileConnectionsAreMade_returns")
{
    constexpr int servers = 300;
    constexpr int callers = 4;
    for (int number = 0; number < servers; ++number) {
        LimitSettings limits;
        limits.trafficThreads = 4;
        const Endpoint endpoint{"127.0.0.1", testing::freePort()};
        HttpServer server(endpoint, limits, [](const std::shared_ptr<Exchange> &exchange) { exchange->respond({200, {}, ""}); });
        std::atomic<bool> isOver{false};
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int caller = 0; caller < callers; ++caller) {
            threads.emplace_back([&] {
                const SocketAddress address = toSocketAddress(endpoint);
                while (!isOver) {
                    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
                    // It is refused once the server has stopped.
                    static_cast<void>(::connect(connection, address.pointer(), address.size));
                    ::close(connection);
                }
            });
        }
        absl::SleepFor(absl::Milliseconds(2));
        server.stop(absl::Milliseconds(1));
        isOver = true;
        std::for_each(threads.begin(), threads.end(), [](std::thread &thread) { thread.join(); });
    }
}

TEST_CASE_METHOD(HttpServerFixture, "connection_madeDuringStop_isRefused")
{
    std::thread caller([&] {
        OutgoingRequest request;
        request.method = "GET";
        request.url = absl::StrCat("http://", this->endpoint.text(), "/");
        fetch(request);
    });
    REQUIRE(testing::waitUntil([this] { return this->heldExchanges() == 1; }));
    std::thread stopper([this] { this->server->stop(absl::Seconds(2)); });
    const SocketAddress address = toSocketAddress(this->endpoint);
    const auto isRefused = [&address] {
        const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
        const int result = ::connect(connection, address.pointer(), address.size);
        ::close(connection);
        return result != 0;
    };
    // The exchange that is under way keeps the server from ending.
    const bool wasRefused = testing::waitUntil(isRefused, absl::Seconds(1));
    CHECK(wasRefused);
    CHECK(this->server->activeExchanges() == 1);
    this->held.front()->respond({200, {}, ""});
    stopper.join();
    caller.join();
}

} // namespace paddlepier::http
