// Each link fault of the forwarder must have exactly its documented effect; end-to-end and soak tests depend on these faults.

#include "testing/forwarder.h"
#include "testing/harness.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>

namespace paddlepier::testing
{

namespace
{

constexpr Duration shortWait = absl::Milliseconds(300);

/** A forwarder in front of a server that echoes the bytes it receives. */
class ForwarderFixture
{
public:
    ForwarderFixture()
    {
        const sockaddr_in address = addressOf(this->echoPort);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        REQUIRE(::bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
        REQUIRE(::listen(this->listener, SOMAXCONN) == 0);
        this->thread = std::thread([this] { this->echo(); });
        this->forwarder.setTargetRunning(true);
        REQUIRE(waitUntil([this] { return this->answers(this->connect(), absl::Seconds(5)); }));
    }

    ~ForwarderFixture()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        for (const int socket : this->opened) {
            ::close(socket);
        }
        ::close(this->listener);
    }

    int connect()
    {
        const sockaddr_in address = addressOf(this->port);
        this->opened.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        static_cast<void>(::connect(this->opened.back(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)));
        return this->opened.back();
    }

    /** Whether a byte sent over @p socket is echoed; each of sending and receiving may take up to @p timeout. */
    static bool answers(int socket, Duration timeout)
    {
        char byte = 'x';
        const auto moves = [&](short events, const auto &move) {
            pollfd entry{socket, events, 0};
            return ::poll(&entry, 1, static_cast<int>(absl::ToInt64Milliseconds(timeout))) > 0 && move() == 1;
        };
        return moves(POLLOUT, [&] { return ::send(socket, &byte, 1, MSG_NOSIGNAL); }) && moves(POLLIN, [&] { return ::recv(socket, &byte, 1, 0); });
    }

    /** Whether the other side has closed or reset @p socket. */
    static bool isClosed(int socket)
    {
        char byte = 0;
        const ssize_t count = ::recv(socket, &byte, 1, MSG_PEEK);
        return count == 0 || (count < 0 && errno != EAGAIN);
    }

    Forwarder &link()
    {
        return this->forwarder;
    }

private:
    static sockaddr_in addressOf(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    void echo()
    {
        std::vector<pollfd> entries{{this->listener, POLLIN, 0}};
        while (::poll(entries.data(), entries.size(), -1) > 0 && (entries[0].revents & (POLLHUP | POLLERR)) == 0) {
            for (std::size_t index = 1; index < entries.size(); ++index) {
                std::array<char, 64> bytes{};
                const ssize_t count = entries[index].revents == 0 ? 0 : ::recv(entries[index].fd, bytes.data(), bytes.size(), 0);
                if (count > 0) {
                    ::send(entries[index].fd, bytes.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL);
                } else if (entries[index].revents != 0) {
                    ::close(std::exchange(entries[index].fd, -1));
                }
            }
            if (entries[0].revents != 0) {
                entries.push_back({::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC), POLLIN, 0});
            }
        }
        for (std::size_t index = 1; index < entries.size(); ++index) {
            ::close(entries[index].fd);
        }
    }

    const std::uint16_t port = freePort();
    const std::uint16_t echoPort = freePort();
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::vector<int> opened;
    std::thread thread;
    Forwarder forwarder{this->port, this->echoPort};
};

} // namespace

TEST_CASE_METHOD(ForwarderFixture, "forwarder_silenced_stallsOpenConnectionsAndServesNewOnes")
{
    const int before = this->connect();
    REQUIRE(answers(before, absl::Seconds(5)));
    this->link().silenceAll();
    CHECK_FALSE(answers(before, shortWait));
    CHECK_FALSE(isClosed(before));
    CHECK(answers(this->connect(), absl::Seconds(5)));
    CHECK_FALSE(answers(before, shortWait));
}

TEST_CASE_METHOD(ForwarderFixture, "forwarder_reset_closesOpenConnectionsAndServesNewOnes")
{
    const int before = this->connect();
    REQUIRE(answers(before, absl::Seconds(5)));
    this->link().resetAll();
    CHECK(waitUntil([&] { return isClosed(before); }));
    CHECK(answers(this->connect(), absl::Seconds(5)));
}

TEST_CASE_METHOD(ForwarderFixture, "forwarder_lossInOneDirection_transfersNothingUntilReset")
{
    for (const Direction direction : {Direction::ToTarget, Direction::FromTarget}) {
        const int before = this->connect();
        REQUIRE(answers(before, absl::Seconds(5)));
        this->link().setLoss(direction, true);
        CHECK_FALSE(answers(before, shortWait));
        CHECK_FALSE(answers(this->connect(), shortWait));
        this->link().setLoss(direction, false);
        CHECK(answers(before, absl::Seconds(20)));
        CHECK(answers(this->connect(), absl::Seconds(20)));
    }
}

TEST_CASE_METHOD(ForwarderFixture, "forwarder_delayed_answersAfterTheDelay")
{
    const int socket = this->connect();
    REQUIRE(answers(socket, absl::Seconds(5)));
    this->link().setDelay(absl::Seconds(2));
    CHECK_FALSE(answers(socket, shortWait));
    this->link().setDelay(absl::ZeroDuration());
    CHECK(waitUntil([&] { return !isClosed(socket) && answers(socket, shortWait); }));
}

} // namespace paddlepier::testing
