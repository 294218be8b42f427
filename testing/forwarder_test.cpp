// The forwarder disturbs a link as it says.

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

constexpr Duration shortWhile = absl::Milliseconds(300);

/** Sends back what it receives. */
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

    /** Whether a byte comes back over @p socket within @p patience. */
    static bool answers(int socket, Duration patience)
    {
        char byte = 'x';
        const auto moves = [&](short events, const auto &move) {
            pollfd entry{socket, events, 0};
            return ::poll(&entry, 1, static_cast<int>(absl::ToInt64Milliseconds(patience))) > 0 && move() == 1;
        };
        return moves(POLLOUT, [&] { return ::send(socket, &byte, 1, MSG_NOSIGNAL); }) && moves(POLLIN, [&] { return ::recv(socket, &byte, 1, 0); });
    }

    /** Whether @p socket has been closed or reset by the other side. */
    static bool isOver(int socket)
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
        std::vector<pollfd> waiting{{this->listener, POLLIN, 0}};
        while (::poll(waiting.data(), waiting.size(), -1) > 0 && (waiting[0].revents & (POLLHUP | POLLERR)) == 0) {
            for (std::size_t index = 1; index < waiting.size(); ++index) {
                std::array<char, 64> bytes{};
                const ssize_t count = waiting[index].revents == 0 ? 0 : ::recv(waiting[index].fd, bytes.data(), bytes.size(), 0);
                if (count > 0) {
                    ::send(waiting[index].fd, bytes.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL);
                } else if (waiting[index].revents != 0) {
                    ::close(std::exchange(waiting[index].fd, -1));
                }
            }
            if (waiting[0].revents != 0) {
                waiting.push_back({::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC), POLLIN, 0});
            }
        }
        for (std::size_t index = 1; index < waiting.size(); ++index) {
            ::close(waiting[index].fd);
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

TEST_CASE_METHOD(ForwarderFixture, "forwarder_silenced_isSilentOnOpenConnectionsAndServesNewOnes")
{
    const int before = this->connect();
    REQUIRE(answers(before, absl::Seconds(5)));
    this->link().silenceAll();
    CHECK_FALSE(answers(before, shortWhile));
    CHECK_FALSE(isOver(before));
    CHECK(answers(this->connect(), absl::Seconds(5)));
    CHECK_FALSE(answers(before, shortWhile));
}

TEST_CASE_METHOD(ForwarderFixture, "forwarder_reset_endsOpenConnectionsAndServesNewOnes")
{
    const int before = this->connect();
    REQUIRE(answers(before, absl::Seconds(5)));
    this->link().resetAll();
    CHECK(waitUntil([&] { return isOver(before); }));
    CHECK(answers(this->connect(), absl::Seconds(5)));
}

TEST_CASE_METHOD(ForwarderFixture, "forwarder_lostOneWay_carriesNothingUntilItIsHealed")
{
    for (const Direction way : {Direction::ToTarget, Direction::FromTarget}) {
        const int before = this->connect();
        REQUIRE(answers(before, absl::Seconds(5)));
        this->link().setLost(way, true);
        CHECK_FALSE(answers(before, shortWhile));
        CHECK_FALSE(answers(this->connect(), shortWhile));
        this->link().setLost(way, false);
        CHECK(answers(before, absl::Seconds(20)));
        CHECK(answers(this->connect(), absl::Seconds(20)));
    }
}

TEST_CASE_METHOD(ForwarderFixture, "forwarder_delayed_answersLate")
{
    const int socket = this->connect();
    REQUIRE(answers(socket, absl::Seconds(5)));
    this->link().setDelay(absl::Seconds(2));
    CHECK_FALSE(answers(socket, shortWhile));
    this->link().setDelay(absl::ZeroDuration());
    CHECK(waitUntil([&] { return !isOver(socket) && answers(socket, shortWhile); }));
}

} // namespace paddlepier::testing
