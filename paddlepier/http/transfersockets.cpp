// Socket events of one thread's transfers, on epoll.

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

constexpr std::size_t maxEventsPerWait = 64;

/**
 * TCP keepalive, and the limit after which an unresponsive connection is closed. Both are meant for idle connections, since calls time out
 * sooner. The limit is longer than short interruptions of a link, after which delayed bytes still arrive; a reset would lose them.
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

Timestamp TransferSockets::establishedAt(int localPort, bool isNew)
{
    Timestamp &at = this->establishedAtByPort.try_emplace(localPort, controlNow()).first->second;
    if (isNew) {
        at = controlNow();
    }
    return at;
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
        found->second.isProven = true;
        return;
    }
    // It may be a failed connection attempt that was closed without notification, so that its descriptor may be reused soon.
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

const std::vector<TransferSockets::Event> &TransferSockets::wait(Duration timeout)
{
    this->readyEvents.clear();
    std::array<epoll_event, maxEventsPerWait> events{};
    const auto millis = static_cast<int>(absl::ToInt64Milliseconds(absl::Ceil(timeout, absl::Milliseconds(1))));
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
            // Must be reset after the eventfd is read. If it were reset before, a concurrent wake() could set it and have its write consumed
            // here; all later calls would then find it set and never write. A wake() that finds it still set precedes the end of this wait.
            this->isWakePending = false;
            continue;
        }
        const auto found = this->sockets.find(socket);
        if (found != this->sockets.end() && found->second.idleSince != absl::InfiniteFuture()) {
            // The server closed the idle connection or sent unexpected data; libcurl notices when it next tries to reuse the connection.
            this->setEvents(socket, found->second, 0);
            continue;
        }
        this->readyEvents.push_back({socket, (event.events & EPOLLIN) != 0, (event.events & EPOLLOUT) != 0, (event.events & (EPOLLERR | EPOLLHUP)) != 0});
    }
    return this->readyEvents;
}

void TransferSockets::updateReportedUntil(std::size_t events)
{
    // epoll reports ready sockets round-robin, so consecutive waits that return as many events as there are sockets miss none.
    ++this->incompleteWaits;
    if (events < maxEventsPerWait || this->incompleteWaits * maxEventsPerWait > this->sockets.size()) {
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

std::size_t TransferSockets::openCount(const std::string &address) const
{
    const auto found = this->byAddress.find(address);
    return found == this->byAddress.end() ? 0 : found->second.size();
}

std::size_t TransferSockets::provenCount(const std::string &address) const
{
    const auto found = this->byAddress.find(address);
    if (found == this->byAddress.end()) {
        return 0;
    }
    const auto isProven = [this](int socket) { return this->sockets.at(socket).isProven; };
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(), isProven));
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

void TransferSockets::shutDownIdle(Timestamp since, const std::function<bool(const std::string &address)> &isKept)
{
    for (const auto &[socket, watched] : this->sockets) {
        if (watched.idleSince <= since && !isKept(watched.address)) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
}

} // namespace paddlepier::http
