// A TCP forwarder on loopback through which tests inject link faults.

#include "testing/forwarder.h"

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace paddlepier::testing
{

namespace
{

constexpr int pollMillis = 20;

/** Longer than the start of a process takes until it executes its program. */
constexpr Duration maxAddressInUse = absl::Seconds(2);

/** The forwarder stops reading from a sender while more than this waits for its receiver. */
constexpr std::size_t maxBufferedBytes = 1U << 20U;

sockaddr_in addressOf(const ForwarderEnd &end)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(end.port);
    ::inet_pton(AF_INET, end.host.c_str(), &address.sin_addr);
    return address;
}

int openSocket(const ForwarderEnd &end)
{
    int socket = -1;
    const auto open = [&socket] { socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0); };
    if (end.space == nullptr) {
        open();
    } else {
        end.space->inside(open);
    }
    return socket;
}

/** Makes the kernel drop every segment that arrives for @p socket before TCP processes it, or accept segments again. */
void setDropIncoming(int socket, bool isDropping)
{
    sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &dropAll};
    ::setsockopt(socket, SOL_SOCKET, isDropping ? SO_ATTACH_FILTER : SO_DETACH_FILTER, &program, sizeof(program));
}

void closeAsReset(int socket)
{
    const linger immediate{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
    ::close(socket);
}

} // namespace

Forwarder::Forwarder(std::uint16_t port, std::uint16_t target)
    : Forwarder(ForwarderEnd{"127.0.0.1", port}, ForwarderEnd{"127.0.0.1", target})
{
}

Forwarder::Forwarder(ForwarderEnd listenAt, ForwarderEnd forwardTo)
    : listenEnd(std::move(listenAt))
    , target(std::move(forwardTo))
{
    this->thread = std::thread([this] { this->run(); });
}

Forwarder::~Forwarder()
{
    this->stopping = true;
    this->thread.join();
    const absl::MutexLock lock(&this->mutex);
    this->closeListener();
    this->closeAll(false);
    for (const int socket : this->silenced) {
        closeAsReset(socket);
    }
}

void Forwarder::setCut(bool isCut)
{
    this->cut = isCut;
}

void Forwarder::setTargetRunning(bool isRunning)
{
    this->targetRunning = isRunning;
}

void Forwarder::setDelay(Duration time)
{
    const absl::MutexLock lock(&this->mutex);
    this->delay = time;
}

void Forwarder::setLoss(Direction direction, bool isLost)
{
    const absl::MutexLock lock(&this->mutex);
    this->lossByDirection[direction] = isLost;
    for (const auto &[socket, state] : this->sockets) {
        this->applyLoss(socket, state.isIncoming);
    }
    if (this->listener >= 0) {
        setDropIncoming(this->listener, this->lossByDirection[Direction::ToTarget] || this->lossByDirection[Direction::FromTarget]);
    }
}

void Forwarder::applyLoss(int socket, bool isIncoming)
{
    setDropIncoming(socket, this->lossByDirection[isIncoming ? Direction::ToTarget : Direction::FromTarget]);
}

void Forwarder::resetAll()
{
    const absl::MutexLock lock(&this->mutex);
    this->closeAll(true);
}

void Forwarder::silenceAll()
{
    const absl::MutexLock lock(&this->mutex);
    for (const auto &[socket, state] : this->sockets) {
        setDropIncoming(socket, true);
        this->silenced.push_back(socket);
    }
    this->sockets.clear();
}

bool Forwarder::isOpen() const
{
    return this->targetRunning && !this->cut;
}

void Forwarder::listen()
{
    this->listener = openSocket(this->listenEnd);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = addressOf(this->listenEnd);
    if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(this->listener, SOMAXCONN) != 0) {
        const int error = errno;
        this->closeListener();
        // A process that is being started holds a copy of the listener that was closed last until it executes its program.
        this->addressInUseSince = std::min(this->addressInUseSince, controlNow());
        if (error == EADDRINUSE && controlNow() < this->addressInUseSince + maxAddressInUse) {
            return;
        }
        throw InternalError(absl::StrCat("the forwarder cannot listen on ", this->listenEnd.host, ":", this->listenEnd.port, ": ", std::strerror(error)));
    }
    this->addressInUseSince = absl::InfiniteFuture();
    setDropIncoming(this->listener, this->lossByDirection[Direction::ToTarget] || this->lossByDirection[Direction::FromTarget]);
}

void Forwarder::closeListener()
{
    if (this->listener >= 0) {
        ::close(this->listener);
        this->listener = -1;
    }
}

void Forwarder::closeAll(bool asReset)
{
    while (!this->sockets.empty()) {
        this->closePair(this->sockets.begin()->first, asReset);
    }
}

void Forwarder::run()
{
    while (!this->stopping) {
        std::vector<pollfd> entries;
        int timeout = pollMillis;
        {
            const absl::MutexLock lock(&this->mutex);
            if (this->isOpen() && this->listener < 0) {
                this->listen();
            } else if (!this->isOpen()) {
                this->closeListener();
            }
            if (this->cut) {
                this->closeAll(false);
            }
            entries = this->pollEntries(timeout);
        }
        ::poll(entries.data(), entries.size(), timeout);
        const absl::MutexLock lock(&this->mutex);
        for (const pollfd &entry : entries) {
            this->handle(entry);
        }
    }
}

std::vector<pollfd> Forwarder::pollEntries(int &timeoutMillis)
{
    const Timestamp now = controlNow();
    std::vector<pollfd> entries{{this->listener, POLLIN, 0}};
    for (const auto &[socket, state] : this->sockets) {
        const bool mayRead = !state.hasEnded && this->sockets.at(state.other).bufferedBytes < maxBufferedBytes;
        const bool mayWrite = !state.buffered.empty() && state.buffered.front().due <= now;
        if (!state.buffered.empty() && !mayWrite) {
            timeoutMillis = std::min<int>(timeoutMillis, 1 + static_cast<int>(absl::ToInt64Milliseconds(state.buffered.front().due - now)));
        }
        entries.push_back({socket, static_cast<short>((mayRead ? POLLIN : 0) | (mayWrite ? POLLOUT : 0)), 0});
    }
    return entries;
}

void Forwarder::handle(const pollfd &entry)
{
    if (entry.revents == 0) {
        return;
    }
    if (entry.fd == this->listener) {
        this->accept();
        return;
    }
    if (this->sockets.contains(entry.fd) && (entry.revents & POLLOUT) != 0 && !this->write(entry.fd)) {
        this->closePair(entry.fd, false);
    }
    if (this->sockets.contains(entry.fd) && (entry.revents & (POLLERR | POLLNVAL)) != 0) {
        this->closePair(entry.fd, true);
    }
    if (this->sockets.contains(entry.fd) && (entry.revents & (POLLIN | POLLHUP)) != 0) {
        this->read(entry.fd);
    }
}

void Forwarder::accept()
{
    const int incoming = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (incoming < 0) {
        return;
    }
    const int outgoing = openSocket(this->target);
    const sockaddr_in address = addressOf(this->target);
    if (!this->isOpen() || (::connect(outgoing, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 && errno != EINPROGRESS)) {
        closeAsReset(incoming);
        ::close(outgoing);
        return;
    }
    const int on = 1;
    for (const auto &[socket, other] : {std::pair(incoming, outgoing), std::pair(outgoing, incoming)}) {
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        this->sockets[socket] = Socket{other, socket == incoming, false, {}, 0};
        this->applyLoss(socket, socket == incoming);
    }
}

void Forwarder::read(int from)
{
    std::array<char, 65536> chunk{};
    const ssize_t count = ::recv(from, chunk.data(), chunk.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count < 0) {
        this->closePair(from, true);
        return;
    }
    Socket &state = this->sockets.at(from);
    const int to = state.other;
    state.hasEnded = count == 0;
    Socket &receiver = this->sockets.at(to);
    receiver.buffered.push_back({controlNow() + this->delay, std::string(chunk.data(), static_cast<std::size_t>(count))});
    receiver.bufferedBytes += static_cast<std::size_t>(count);
    if (!this->write(to)) {
        this->closePair(from, false);
    }
}

bool Forwarder::write(int to)
{
    Socket &state = this->sockets.at(to);
    while (!state.buffered.empty() && state.buffered.front().due <= controlNow()) {
        std::string &bytes = state.buffered.front().bytes;
        if (bytes.empty()) {
            return false;
        }
        const ssize_t count = ::send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0) {
            return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
        }
        state.bufferedBytes -= static_cast<std::size_t>(count);
        bytes.erase(0, static_cast<std::size_t>(count));
        if (bytes.empty()) {
            state.buffered.pop_front();
        }
    }
    return true;
}

void Forwarder::closePair(int socket, bool asReset)
{
    const int other = this->sockets.at(socket).other;
    for (const int each : {socket, other}) {
        this->sockets.erase(each);
        asReset ? closeAsReset(each) : static_cast<void>(::close(each));
    }
}

} // namespace paddlepier::testing
