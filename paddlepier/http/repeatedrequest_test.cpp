// A request must not be resent when its kept connection is reset after the server has read it.
//
// libcurl takes a reset of a kept connection for one that was closed while idle, resends the request over a new connection, and returns the
// response to the second copy. A worker would then execute a start twice, of which the scheduler knows only one.

#include "paddlepier/http/httpclient.h"

#include "paddlepier/settings/socketaddress.h"
#include "testing/harness.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>

namespace paddlepier::http
{

namespace
{

constexpr std::string_view body = "{  }";

/** Answers the first request, reads the second and resets the connection, then answers all further requests. */
class ResettingServer
{
public:
    ResettingServer()
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
        const SocketAddress address = toSocketAddress(this->endpoint);
        const bool isBound = ::bind(this->listener, address.pointer(), address.size) == 0;
        REQUIRE((isBound && ::listen(this->listener, 8) == 0));
        this->thread = std::thread([this] { this->run(); });
    }

    ResettingServer(const ResettingServer &) = delete;
    ResettingServer &operator=(const ResettingServer &) = delete;

    ~ResettingServer()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        ::close(this->listener);
    }

    const Endpoint endpoint{"127.0.0.1", testing::freePort()};
    /** Requests received after the first. */
    std::atomic<int> requests{0};

private:
    static bool readRequest(int socket)
    {
        std::string received;
        std::array<char, 4096> chunk{};
        while (received.find(body) == std::string::npos) {
            const ssize_t count = ::recv(socket, chunk.data(), chunk.size(), 0);
            if (count <= 0) {
                return false;
            }
            received.append(chunk.data(), static_cast<std::size_t>(count));
        }
        return true;
    }

    static void answer(int socket)
    {
        constexpr std::string_view ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        ::send(socket, ok.data(), ok.size(), MSG_NOSIGNAL);
    }

    void run()
    {
        const int first = ::accept(this->listener, nullptr, nullptr);
        readRequest(first);
        answer(first);
        this->requests += readRequest(first) ? 1 : 0;
        const linger reset{1, 0};
        ::setsockopt(first, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::close(first);
        for (int next = ::accept(this->listener, nullptr, nullptr); next >= 0; next = ::accept(this->listener, nullptr, nullptr)) {
            this->requests += readRequest(next) ? 1 : 0;
            answer(next);
            ::close(next);
        }
    }

    int listener = -1;
    std::thread thread;
};

class RepeatedRequestFixture
{
public:
    TransferResult call(bool isIdempotent)
    {
        OutgoingRequest request;
        request.url = absl::StrCat("http://", this->server.endpoint.text(), "/");
        request.body = std::string(body);
        request.isIdempotent = isIdempotent;
        std::optional<TransferResult> result;
        this->pool.start(std::move(request), [&result](TransferResult received) { result = std::move(received); });
        while (!result) {
            this->pool.run(absl::Milliseconds(50));
        }
        return *result;
    }

    ResettingServer server;
    TransferPool pool;
};

} // namespace

TEST_CASE_METHOD(RepeatedRequestFixture, "request_keptConnectionResetAfterReceipt_isNotResent")
{
    REQUIRE(this->call(false).isComplete);
    const TransferResult result = this->call(false);
    CHECK_FALSE(result.isComplete);
    CHECK_FALSE(result.nothingSent);
    CHECK(this->server.requests == 1);
}

TEST_CASE_METHOD(RepeatedRequestFixture, "idempotentRequest_keptConnectionReset_isResentAndAnswered")
{
    REQUIRE(this->call(true).isComplete);
    CHECK(this->call(true).isComplete);
    CHECK(this->server.requests == 2);
}

} // namespace paddlepier::http
