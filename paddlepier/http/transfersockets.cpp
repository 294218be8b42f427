// Sockets of the transfers of one thread, on epoll.

#include "paddlepier/http/transfersockets.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace paddlepier::http
{

namespace
{

constexpr std::size_t eventsAtOnce = 64;

/**
 * Probes of a silent connection, and when it is given up. Calls time out sooner: this is for connections that rest, and
 * longer than the short cuts of a link, whose held-up bytes a reset would lose.
 */
constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int unacknowledgedMillis = 3000;

void setOption(int socket, int level, int option, int value)
{
    ::setsockopt(socket, level, option, &value, sizeof(value));
}

} // namespace

TransferSockets::TransferSockets()
    : epoll(::epoll_create1(EPOLL_CLOEXEC))
    , wakeup(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = this->wakeup;
    ::epoll_ctl(this->epoll, EPOLL_CTL_ADD, this->wakeup, &event);
}

TransferSockets::~TransferSockets()
{
    ::close(this->epoll);
    ::close(this->wakeup);
}

void TransferSockets::setSocketOptions(int socket)
{
    this->remove(socket);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMillis);
}

void TransferSockets::watch(int socket, const std::string &address, bool reads, bool writes)
{
    auto [found, isNew] = this->sockets.try_emplace(socket);
    WatchedSocket &watched = found->second;
    if (isNew) {
        watched.address = address;
        this->byAddress[address].push_back(socket);
    }
    watched.wasConnected = watched.wasConnected || reads;
    watched.idleSince = absl::InfiniteFuture();
    this->setEvents(socket, watched, (reads ? EPOLLIN : 0U) | (writes ? EPOLLOUT : 0U));
}

void TransferSockets::markIdle(int socket)
{
    const auto found = this->sockets.find(socket);
    if (found == this->sockets.end()) {
        return;
    }
    if (found->second.wasConnected) {
        found->second.idleSince = controlNow();
        return;
    }
    // Perhaps a failed attempt to connect, closed without a word: its number may soon be another's.
    this->setEvents(socket, found->second, 0);
    this->remove(socket);
}

void TransferSockets::remove(int socket)
{
    const auto found = this->sockets.find(socket);
    if (found == this->sockets.end()) {
        return;
    }
    const auto siblings = this->byAddress.find(found->second.address);
    std::erase(siblings->second, socket);
    if (siblings->second.empty()) {
        this->byAddress.erase(siblings);
    }
    this->sockets.erase(found);
}

void TransferSockets::setEvents(int socket, WatchedSocket &watched, std::uint32_t events)
{
    if (watched.events == events) {
        return;
    }
    epoll_event event{};
    event.events = events;
    event.data.fd = socket;
    const int change = watched.events == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    ::epoll_ctl(this->epoll, events == 0 ? EPOLL_CTL_DEL : change, socket, &event);
    watched.events = events;
}

const std::vector<TransferSockets::Event> &TransferSockets::wait(Duration patience)
{
    this->readyEvents.clear();
    std::array<epoll_event, eventsAtOnce> events{};
    const auto millis = static_cast<int>(absl::ToInt64Milliseconds(absl::Ceil(patience, absl::Milliseconds(1))));
    if (this->incompleteWaits == 0) {
        this->firstIncompleteWait = controlNow();
    }
    const int count = ::epoll_wait(this->epoll, events.data(), static_cast<int>(events.size()), millis);
    this->updateReportedUntil(static_cast<std::size_t>(std::max(0, count)));
    for (int index = 0; index < count; ++index) {
        const epoll_event &event = events[static_cast<std::size_t>(index)];
        const int socket = event.data.fd;
        if (socket == this->wakeup) {
            std::uint64_t value = 0;
            [[maybe_unused]] const ssize_t size = ::read(this->wakeup, &value, sizeof(value));
            // Only after the descriptor was read: one who writes in between would have its write read and its mark stay, and no
            // later call would ever write again. One who finds the mark still set comes before this wait's end.
            this->isWakePending = false;
            continue;
        }
        const auto found = this->sockets.find(socket);
        if (found != this->sockets.end() && found->second.idleSince != absl::InfiniteFuture()) {
            // The other side ended it, or asks for what nobody waits for: seen when the connection is next wanted.
            this->setEvents(socket, found->second, 0);
            continue;
        }
        this->readyEvents.push_back({socket, (event.events & EPOLLIN) != 0, (event.events & EPOLLOUT) != 0, (event.events & (EPOLLERR | EPOLLHUP)) != 0});
    }
    return this->readyEvents;
}

void TransferSockets::updateReportedUntil(std::size_t events)
{
    // The system tells of ready sockets in turn, so that none is left out by waits for as many events as there are sockets.
    ++this->incompleteWaits;
    if (events < eventsAtOnce || this->incompleteWaits * eventsAtOnce > this->sockets.size()) {
        this->reportedUntil = this->firstIncompleteWait;
        this->incompleteWaits = 0;
    }
}

Timestamp TransferSockets::eventsReportedUntil() const
{
    return this->reportedUntil;
}

void TransferSockets::wake()
{
    if (this->isWakePending.exchange(true)) {
        return;
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(this->wakeup, &one, sizeof(one));
}

void TransferSockets::shutDownIdle(const std::string &address, Timestamp since)
{
    const auto found = this->byAddress.find(address);
    if (found == this->byAddress.end()) {
        return;
    }
    for (const int socket : found->second) {
        if (this->sockets.at(socket).idleSince <= since) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
}

} // namespace paddlepier::http
