// A TCP forwarder on loopback that a test can cut.

#include "testing/forwarder.h"

#include "paddlepier/base/error.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <vector>

namespace paddlepier::testing
{

namespace
{

constexpr int pollMillis = 20;

sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool sendAll(int socket, const char *data, std::size_t size)
{
    while (size > 0) {
        const ssize_t count = ::send(socket, data, size, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        data += count;
        size -= static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace

Forwarder::Forwarder(std::uint16_t port, std::uint16_t target)
    : ownPort(port)
    , targetPort(target)
{
    this->thread = std::thread([this] { this->run(); });
}

Forwarder::~Forwarder()
{
    this->stopping = true;
    this->thread.join();
    this->close();
}

void Forwarder::setCut(bool isCut)
{
    this->cut = isCut;
}

void Forwarder::setTargetRunning(bool isRunning)
{
    this->targetRunning = isRunning;
}

bool Forwarder::isOpen() const
{
    return this->targetRunning && !this->cut;
}

void Forwarder::listen()
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopbackAddress(this->ownPort);
    if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(this->listener, SOMAXCONN) != 0) {
        throw InternalError("the forwarder can't listen");
    }
}

void Forwarder::close()
{
    if (this->listener >= 0) {
        ::close(this->listener);
        this->listener = -1;
    }
    while (!this->others.empty()) {
        this->closePair(this->others.begin()->first);
    }
}

void Forwarder::run()
{
    while (!this->stopping) {
        if (!this->isOpen()) {
            this->close();
        } else if (this->listener < 0) {
            this->listen();
        }
        std::vector<pollfd> waiting{{this->listener, POLLIN, 0}};
        for (const auto &[socket, other] : this->others) {
            waiting.push_back({socket, POLLIN, 0});
        }
        ::poll(waiting.data(), waiting.size(), pollMillis);
        for (const pollfd &entry : waiting) {
            if (entry.revents == 0) {
                continue;
            }
            if (entry.fd == this->listener) {
                this->accept();
            } else if (this->others.contains(entry.fd)) {
                this->pass(entry.fd);
            }
        }
    }
}

void Forwarder::accept()
{
    const int incoming = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (incoming < 0) {
        return;
    }
    const int outgoing = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopbackAddress(this->targetPort);
    if (!this->isOpen() || ::connect(outgoing, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(incoming);
        ::close(outgoing);
        return;
    }
    this->others[incoming] = outgoing;
    this->others[outgoing] = incoming;
}

void Forwarder::pass(int from)
{
    std::array<char, 65536> chunk{};
    const ssize_t count = ::recv(from, chunk.data(), chunk.size(), 0);
    if (count <= 0 || !sendAll(this->others.at(from), chunk.data(), static_cast<std::size_t>(count))) {
        this->closePair(from);
    }
}

void Forwarder::closePair(int socket)
{
    const int other = this->others.at(socket);
    this->others.erase(socket);
    this->others.erase(other);
    ::close(socket);
    ::close(other);
}

} // namespace paddlepier::testing
