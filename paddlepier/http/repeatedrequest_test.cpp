// A request must not be resent when its kept connection is reset after the server has read it.
//
// libcurl takes a reset of a kept connection for one that was closed while idle, resends the request over a new connection, and returns the
// response to the second copy. A worker would then execute a start twice, of which the scheduler knows only one. The next process at the same address
// would take what was meant for the one before, such as an acknowledgement, for its own.

#include "paddlepier/http/httpclient.h"

#include "paddlepier/base/error.h"
#include "paddlepier/settings/socketaddress.h"
#include "testing/harness.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>
#include <vector>

namespace paddlepier::http
{

namespace
{

constexpr std::string_view body = "{  }";
constexpr std::string_view bodyForLaterConnection = "{ x}";

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

    /** The bodies of all requests, in the order of their receipt. */
    std::vector<std::string> bodies()
    {
        const absl::MutexLock lock(&this->mutex);
        return this->received;
    }

    const Endpoint endpoint{"127.0.0.1", testing::freePort()};
    /** Requests received after the first. */
    std::atomic<int> requests{0};

private:
    bool readRequest(int socket)
    {
        std::string request;
        std::array<char, 4096> chunk{};
        while (request.find('}') == std::string::npos) {
            const ssize_t count = ::recv(socket, chunk.data(), chunk.size(), 0);
            if (count <= 0) {
                return false;
            }
            request.append(chunk.data(), static_cast<std::size_t>(count));
        }
        const absl::MutexLock lock(&this->mutex);
        this->received.push_back(request.substr(request.find('{')));
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
    absl::Mutex mutex;
    std::vector<std::string> received ABSL_GUARDED_BY(mutex);
    std::thread thread;
};

class RepeatedRequestFixture
{
public:
    TransferResult call(bool isIdempotent)
    {
        OutgoingRequest request;
        request.isIdempotent = isIdempotent;
        return this->call(std::move(request));
    }

    /** A request with another body for connections that are established after @p time. */
    TransferResult callWithTwoBodies(Timestamp time)
    {
        OutgoingRequest request;
        request.isIdempotent = true;
        request.bodyForLaterConnection = std::string(bodyForLaterConnection);
        request.establishedBy = time;
        return this->call(std::move(request));
    }

    TransferResult call(OutgoingRequest request)
    {
        request.url = absl::StrCat("http://", this->server.endpoint.text(), "/");
        request.body = std::string(body);
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

TEST_CASE_METHOD(RepeatedRequestFixture, "requestWithTwoBodies_keptConnection_hasTheBodyForTheTimeOfTheConnection")
{
    const Timestamp before = controlNow();
    const bool isLater = GENERATE(false, true);
    REQUIRE(this->call(true).isComplete);
    this->callWithTwoBodies(isLater ? before : controlNow());
    CHECK(this->server.bodies().at(1) == (isLater ? bodyForLaterConnection : body));
}

TEST_CASE_METHOD(RepeatedRequestFixture, "requestWithTwoBodies_resentOverAnotherConnection_hasTheBodyForIt")
{
    REQUIRE(this->call(true).isComplete);
    CHECK(this->callWithTwoBodies(controlNow()).isComplete);
    CHECK(this->server.bodies() == std::vector<std::string>{std::string(body), std::string(body), std::string(bodyForLaterConnection)});
}

TEST_CASE_METHOD(RepeatedRequestFixture, "requestWithTwoBodies_theSecondOneLonger_isRefused")
{
    OutgoingRequest request;
    request.bodyForLaterConnection = std::string(body) + " ";
    CHECK_THROWS_AS(this->call(std::move(request)), InvalidArgumentError);
}

// Guards against TWICE: a start that waits for its connection, or for its process, leaves after its leader was replaced.
TEST_CASE_METHOD(RepeatedRequestFixture, "request_thatMayNotBeSentAnyMore_sendsNothing")
{
    const bool isKept = GENERATE(false, true);
    if (isKept) {
        REQUIRE(this->call(true).isComplete);
    }
    OutgoingRequest request;
    request.maySend = [] { return false; };
    const TransferResult result = this->call(std::move(request));
    CHECK_FALSE(result.isComplete);
    CHECK(result.nothingSent);
    CHECK(this->server.bodies().size() == (isKept ? 1 : 0));
}

TEST_CASE_METHOD(RepeatedRequestFixture, "idempotentRequest_thatMayNotBeSentAnyMore_isNotResent")
{
    REQUIRE(this->call(true).isComplete);
    int checks = 0;
    OutgoingRequest request;
    request.isIdempotent = true;
    request.maySend = [&checks] { return ++checks == 1; };
    const TransferResult result = this->call(std::move(request));
    CHECK_FALSE(result.isComplete);
    CHECK_FALSE(result.nothingSent);
    CHECK(this->server.requests == 1);
}

} // namespace paddlepier::http
