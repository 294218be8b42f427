// Transfers against a loopback server that can delay its responses or stop responding on open connections.

#include "paddlepier/http/httpclient.h"

#include "paddlepier/http/transfersockets.h"
#include "testing/harness.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <map>
#include <thread>

namespace paddlepier::http
{

namespace
{

constexpr Duration shortTimeout = absl::Milliseconds(150);
constexpr Duration longTimeout = absl::Seconds(60);

/** Echoes request bodies. Requests for /hold are answered once hold(false) is called, requests for /never are not answered. */
class EchoServer
{
public:
    EchoServer()
        : listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
        REQUIRE(::listen(this->listener, SOMAXCONN) == 0);
        socklen_t size = sizeof(address);
        ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &size);
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this] { this->run(); });
    }

    ~EchoServer()
    {
        this->stopping = true;
        this->thread.join();
        ::close(this->listener);
        for (const auto &[socket, connection] : this->connections) {
            ::close(socket);
        }
    }

    EchoServer(const EchoServer &) = delete;
    EchoServer &operator=(const EchoServer &) = delete;

    std::string url(const std::string &path) const
    {
        return absl::StrCat("http://127.0.0.1:", this->port, path);
    }

    /** Stops responding on all connections that are open now, without resetting them. */
    void silenceOpenConnections()
    {
        this->lastSilenced = this->accepted.load();
    }

    void hold(bool isOn)
    {
        this->holding = isOn;
    }

    int acceptedConnections() const
    {
        return this->accepted;
    }

    int heldRequests() const
    {
        return this->held;
    }

private:
    struct Connection {
        int number = 0;
        std::string received;
        bool isHeld = false;
    };

    void run()
    {
        constexpr int pollMillis = 5;
        while (!this->stopping) {
            std::vector<pollfd> polled{{this->listener, POLLIN, 0}};
            for (const auto &[socket, connection] : this->connections) {
                polled.push_back({socket, POLLIN, 0});
            }
            ::poll(polled.data(), polled.size(), pollMillis);
            for (const pollfd &entry : polled) {
                if (entry.revents != 0 && entry.fd != this->listener) {
                    this->read(entry.fd);
                }
            }
            this->accept();
            for (auto &[socket, connection] : this->connections) {
                this->answer(socket, connection);
            }
        }
    }

    void accept()
    {
        while (true) {
            const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            this->connections[socket].number = ++this->accepted;
        }
    }

    void read(int socket)
    {
        std::array<char, 4096> chunk{};
        const ssize_t count = ::recv(socket, chunk.data(), chunk.size(), 0);
        if (count > 0) {
            this->connections.at(socket).received.append(chunk.data(), static_cast<std::size_t>(count));
        } else if (this->connections.at(socket).number > this->lastSilenced) {
            ::close(socket);
            this->connections.erase(socket);
        }
    }

    void answer(int socket, Connection &connection)
    {
        const std::size_t end = connection.received.find("\r\n\r\n");
        const std::size_t length = connection.received.find("Content-Length: ");
        if (end == std::string::npos || connection.number <= this->lastSilenced || absl::StartsWith(connection.received, "POST /never")) {
            return;
        }
        std::size_t bodyBytes = 0;
        if (length < end) {
            bodyBytes = static_cast<std::size_t>(std::stoul(connection.received.substr(length + 16)));
        }
        const std::size_t requestBytes = end + 4 + bodyBytes;
        if (connection.received.size() < requestBytes) {
            return;
        }
        const bool wasHeld = connection.isHeld;
        connection.isHeld = this->holding && absl::StartsWith(connection.received, "POST /hold");
        this->held += static_cast<int>(connection.isHeld) - static_cast<int>(wasHeld);
        if (!connection.isHeld) {
            const std::string text =
                absl::StrCat("HTTP/1.1 200 OK\r\nX-Echo: yes\r\nContent-Length: ", bodyBytes, "\r\n\r\n", connection.received.substr(end + 4, bodyBytes));
            connection.received.erase(0, requestBytes);
            ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
        }
    }

    const int listener;
    std::uint16_t port = 0;
    std::atomic<bool> stopping{false};
    std::atomic<bool> holding{true};
    std::atomic<int> accepted{0};
    std::atomic<int> lastSilenced{0};
    std::atomic<int> held{0};
    std::map<int, Connection> connections;
    std::thread thread;
};

class TransferPoolFixture
{
public:
    void start(const std::string &path, std::vector<TransferResult> &results, Duration timeout = longTimeout, bool mayReuse = true)
    {
        OutgoingRequest request;
        request.url = this->server.url(path);
        request.body = absl::StrCat("body-", ++this->started);
        request.timeout = timeout;
        request.mayReuseConnection = mayReuse;
        this->pool.start(request, [&results, body = request.body](TransferResult result) {
            CHECK((!result.isComplete || result.response.body == body));
            results.push_back(std::move(result));
        });
    }

    void runUntil(const std::function<bool()> &condition)
    {
        REQUIRE(testing::waitUntil([&] {
            this->pool.run(absl::Milliseconds(20));
            return condition();
        }));
    }

    TransferResult call(const std::string &path, Duration timeout = longTimeout, bool mayReuse = true)
    {
        std::vector<TransferResult> results;
        this->start(path, results, timeout, mayReuse);
        this->runUntil([&] { return !results.empty(); });
        return results.front();
    }

    /** Opens @p count connections and leaves them idle. */
    void openConnections(int count)
    {
        std::vector<TransferResult> results;
        this->server.hold(true);
        for (int number = 0; number < count; ++number) {
            this->start("/hold", results);
        }
        this->runUntil([&] { return this->server.heldRequests() == count; });
        this->server.hold(false);
        this->runUntil([&] { return results.size() == static_cast<std::size_t>(count); });
        this->server.hold(true);
        REQUIRE(this->server.acceptedConnections() == count);
    }

    EchoServer server;
    TransferPool pool;
    int started = 0;
};

int optionOf(int socket, int level, int option)
{
    int value = 0;
    socklen_t size = sizeof(value);
    ::getsockopt(socket, level, option, &value, &size);
    return value;
}

} // namespace

TEST_CASE_METHOD(TransferPoolFixture, "call_answered_isComplete")
{
    const TransferResult result = this->call("/echo");
    CHECK(result.isComplete);
    CHECK(result.error.empty());
    CHECK(result.response.status == 200);
    CHECK(result.response.header("x-echo") == "yes");
    CHECK(result.response.body == "body-1");
}

TEST_CASE_METHOD(TransferPoolFixture, "calls_sequential_shareConnection")
{
    for (int number = 0; number < 20; ++number) {
        CHECK(this->call("/echo").isComplete);
    }
    CHECK(this->server.acceptedConnections() == 1);
}

TEST_CASE_METHOD(TransferPoolFixture, "call_atMostOnce_usesNewConnection")
{
    CHECK(this->call("/echo").isComplete);
    CHECK(this->call("/echo", longTimeout, false).isComplete);
    CHECK(this->server.acceptedConnections() == 2);
    CHECK(this->call("/echo").isComplete);
    CHECK(this->server.acceptedConnections() == 2);
}

TEST_CASE_METHOD(TransferPoolFixture, "request_onReusedHandle_usesItsOwnMethod")
{
    CHECK(this->call("/echo").isComplete);
    std::vector<TransferResult> results;
    OutgoingRequest request;
    request.method = "GET";
    request.url = this->server.url("/echo");
    this->pool.start(request, [&results](TransferResult result) { results.push_back(std::move(result)); });
    this->runUntil([&] { return !results.empty(); });
    CHECK(results.front().isComplete);
    CHECK(results.front().response.body.empty());
    CHECK(this->call("/echo").response.body == "body-2");
}

TEST_CASE_METHOD(TransferPoolFixture, "shortCalls_amongManyOpenCalls_areAnswered")
{
    constexpr std::size_t openCalls = 300;
    std::vector<TransferResult> held;
    for (std::size_t number = 0; number < openCalls; ++number) {
        this->start("/hold", held);
    }
    this->runUntil([&] { return this->server.heldRequests() == static_cast<int>(openCalls); });
    for (int number = 0; number < 50; ++number) {
        CHECK(this->call("/echo").isComplete);
    }
    CHECK(held.empty());
    CHECK(this->server.acceptedConnections() == static_cast<int>(openCalls) + 1);
    this->server.hold(false);
    this->runUntil([&] { return held.size() == openCalls; });
    CHECK(std::all_of(held.begin(), held.end(), [](const TransferResult &result) { return result.isComplete; }));
}

TEST_CASE_METHOD(TransferPoolFixture, "calls_beyondConnectionsPerHost_waitAndAreAnswered")
{
    this->pool.setMaxConnectionsPerHost(2);
    std::vector<TransferResult> results;
    for (int number = 0; number < 10; ++number) {
        this->start("/echo", results);
    }
    this->runUntil([&] { return results.size() == 10; });
    CHECK(std::all_of(results.begin(), results.end(), [](const TransferResult &result) { return result.isComplete; }));
    CHECK(this->server.acceptedConnections() <= 2);
}

TEST_CASE_METHOD(TransferPoolFixture, "call_withoutConnectionBeforeTimeout_sendsNothing")
{
    this->pool.setMaxConnectionsPerHost(1);
    CHECK(this->call("/echo").isComplete);
    std::vector<TransferResult> held;
    this->start("/hold", held);
    this->runUntil([&] { return this->server.heldRequests() == 1; });
    const TransferResult timedOut = this->call("/echo", shortTimeout);
    CHECK(!timedOut.isComplete);
    CHECK(timedOut.nothingSent);
    this->server.hold(false);
    this->runUntil([&] { return !held.empty(); });
    CHECK(held.front().isComplete);
    CHECK(this->call("/echo").isComplete);
    CHECK(this->server.acceptedConnections() == 1);
}

TEST_CASE_METHOD(TransferPoolFixture, "connection_afterTimeout_isNotReused")
{
    CHECK(this->call("/echo").isComplete);
    const TransferResult timedOut = this->call("/never", shortTimeout);
    CHECK(!timedOut.isComplete);
    CHECK(!timedOut.nothingSent);
    CHECK(this->server.acceptedConnections() == 1);
    CHECK(this->call("/echo").isComplete);
    CHECK(this->server.acceptedConnections() == 2);
}

TEST_CASE_METHOD(TransferPoolFixture, "response_receivedInTimeButReadLate_isAccepted")
{
    std::vector<TransferResult> results;
    this->openConnections(1);
    this->start("/hold", results, shortTimeout);
    this->runUntil([&] { return this->server.heldRequests() == 1; });
    this->server.hold(false);
    REQUIRE(testing::waitUntil([&] { return this->server.heldRequests() == 0; }));
    absl::SleepFor(shortTimeout * 2);
    this->runUntil([&] { return !results.empty(); });
    CHECK(results.front().isComplete);
    CHECK(this->server.acceptedConnections() == 1);
}

TEST_CASE_METHOD(TransferPoolFixture, "connections_permanentlyUnresponsive_costOneTimeout")
{
    constexpr int kept = 4;
    this->openConnections(kept);
    this->server.silenceOpenConnections();
    CHECK(!this->call("/echo", shortTimeout).isComplete);
    std::vector<TransferResult> results;
    for (int number = 0; number < kept; ++number) {
        this->start("/echo", results);
    }
    this->runUntil([&] { return results.size() == kept; });
    CHECK(std::all_of(results.begin(), results.end(), [](const TransferResult &result) { return result.isComplete; }));
    CHECK(this->server.acceptedConnections() > kept);
}

TEST_CASE_METHOD(TransferPoolFixture, "connection_usedSinceTimedOutCallStarted_isKept")
{
    this->openConnections(2);
    std::vector<TransferResult> timedOut;
    this->start("/never", timedOut, absl::Milliseconds(300));
    CHECK(this->call("/echo").isComplete);
    REQUIRE(timedOut.empty());
    this->runUntil([&] { return !timedOut.empty(); });
    CHECK(!timedOut.front().isComplete);
    CHECK(this->call("/echo").isComplete);
    CHECK(this->server.acceptedConnections() == 2);
}

TEST_CASE_METHOD(TransferPoolFixture, "callInFlight_whileAnotherTimesOut_isUnaffected")
{
    std::vector<TransferResult> held;
    this->start("/hold", held);
    this->runUntil([&] { return this->server.heldRequests() == 1; });
    CHECK(!this->call("/never", shortTimeout).isComplete);
    this->server.hold(false);
    this->runUntil([&] { return !held.empty(); });
    CHECK(held.front().isComplete);
}

TEST_CASE_METHOD(TransferPoolFixture, "call_withConnectionRefused_sendsNothing")
{
    for (int number = 0; number < 5; ++number) {
        OutgoingRequest request;
        request.url = absl::StrCat("http://127.0.0.1:", testing::freePort(), "/");
        std::vector<TransferResult> results;
        this->pool.start(request, [&results](TransferResult result) { results.push_back(std::move(result)); });
        this->runUntil([&] { return !results.empty(); });
        CHECK(!results.front().isComplete);
        CHECK(results.front().nothingSent);
        CHECK(this->call("/echo").isComplete);
    }
    CHECK(this->server.acceptedConnections() == 1);
}

TEST_CASE_METHOD(TransferPoolFixture, "call_startedFromCallback_isAnswered")
{
    std::vector<TransferResult> results;
    OutgoingRequest request;
    request.url = this->server.url("/echo");
    this->pool.start(request, [&](const TransferResult &) { this->start("/echo", results); });
    this->runUntil([&] { return !results.empty(); });
    CHECK(results.front().isComplete);
}

TEST_CASE_METHOD(TransferPoolFixture, "wake_fromAnotherThread_endsRun")
{
    std::thread waker([this] { this->pool.wake(); });
    this->pool.run(absl::Hours(1));
    waker.join();
}

TEST_CASE_METHOD(TransferPoolFixture, "pool_destroyedWithOpenCalls_discardsThem")
{
    std::vector<TransferResult> results;
    {
        TransferPool shortLived;
        OutgoingRequest request;
        request.url = this->server.url("/hold");
        shortLived.start(request, [&results](TransferResult result) { results.push_back(std::move(result)); });
        REQUIRE(testing::waitUntil([&] {
            shortLived.run(absl::Milliseconds(5));
            return this->server.heldRequests() == 1;
        }));
    }
    CHECK(results.empty());
}

TEST_CASE("socket_withOptionsSet_isProbedWhenIdle")
{
    TransferSockets sockets;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockets.setSocketOptions(socket);
    CHECK(optionOf(socket, SOL_SOCKET, SO_KEEPALIVE) == 1);
    CHECK(optionOf(socket, IPPROTO_TCP, TCP_KEEPIDLE) <= 3);
    CHECK(optionOf(socket, IPPROTO_TCP, TCP_KEEPINTVL) <= 3);
    CHECK(optionOf(socket, IPPROTO_TCP, TCP_USER_TIMEOUT) > 0);
    ::close(socket);
}

} // namespace paddlepier::http
