// Frames between entry instances over TCP, on epoll.

#include "paddlepier/peer/transport.h"

#include "paddlepier/base/error.h"
#include "paddlepier/base/log.h"
#include "paddlepier/peer/framecodec.h"
#include "paddlepier/peer/sockets.h"
#include "paddlepier/peer/transport_detail.h"
#include "paddlepier/settings/socketaddress.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/str_cat.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace paddlepier::peer
{

namespace
{

/**
 * Interval between passes over all connections. With 150 peers, of which those in one zone are unreachable, a pass at every event cost a leader
 * two system calls per unreachable peer some thousand times a second.
 */
constexpr Duration fullPassInterval = absl::Milliseconds(20);
/** Maximum waits for events: while a connection is being established or waits for its next attempt, and otherwise. */
constexpr int maxOpeningPollMillis = 20;
constexpr int maxPollMillis = 200;
constexpr Duration reconnectDelay = absl::Milliseconds(50);

/**
 * Several round trips of the slowest link (24 ms). TCP retransmits a lost SYN only after a second, so that without this limit a machine that
 * has just started would be reached that much later.
 */
constexpr Duration connectTimeout = absl::Milliseconds(200);

/** Limit on incoming connections if the peers are not known in advance. */
constexpr std::size_t maxUnknownPeers = 1024;

/** Time within which an incoming connection must send its Hello. */
constexpr Duration helloTimeout = absl::Seconds(5);

} // namespace

Transport::Implementation::Implementation(const Settings &instanceSettings, Counters &counters, Receiver frameReceiver)
    : settings(instanceSettings)
    , receiver(std::move(frameReceiver))
    , sentFrames(counters.counter("peer_sent_frames_total"))
    , sentBytes(counters.counter("peer_sent_bytes_total"))
    , receivedFrames(counters.counter("peer_received_frames_total"))
    , receivedBytes(counters.counter("peer_received_bytes_total"))
    , droppedFrames(counters.counter("peer_dropped_frames_total"))
    , refusedConnections(counters.counter("peer_refused_connections_total"))
    , lostConnections(counters.counter("peer_lost_connections_total"))
    , discardedBytes(counters.counter("peer_discarded_bytes_total"))
    , epoll(::epoll_create1(EPOLL_CLOEXEC))
    , wakeup(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    for (const PeerSettings &peer : this->settings.peers) {
        this->addOutgoing(peer.id, peer.peer);
    }
    this->listen();
    this->thread = std::thread([this] { this->run(); });
}

Transport::Implementation::~Implementation()
{
    this->stop();
    ::close(this->epoll);
    ::close(this->wakeup);
}

void Transport::Implementation::listen()
{
    this->listener = openSocket(this->settings.peer);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const SocketAddress address = toSocketAddress(this->settings.peer);
    const bool isBound = ::bind(this->listener, address.pointer(), address.size) == 0;
    if (!isBound || ::listen(this->listener, SOMAXCONN) != 0) {
        throw InvalidSettingsError(absl::StrCat("listen.peer: can't listen on ", this->settings.peer.text(), ": ", std::strerror(errno)));
    }
    for (const int descriptor : {this->listener, this->wakeup}) {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = descriptor;
        ::epoll_ctl(this->epoll, EPOLL_CTL_ADD, descriptor, &event);
    }
}

void Transport::Implementation::send(const std::string &instance, const wire::PeerFrameT &frame)
{
    if (!this->settings.acceptsUnknownPeers && this->settings.findPeer(instance) == nullptr) {
        this->droppedFrames.add();
        return;
    }
    const std::string bytes = encodeFrame(frame);
    if (bytes.size() > maxFrameBytes) {
        this->droppedFrames.add();
        log::error("peer", "frame.too-large", {{"to", instance}, {"bytes", bytes.size()}});
        return;
    }
    bool isFirstOfBatch = false;
    {
        const absl::MutexLock lock(&this->mutex);
        const auto queued = this->sendQueues.find(instance);
        if (queued != this->sendQueues.end() && queued->second.size() + bytes.size() > maxQueuedBytes) {
            this->droppedFrames.add();
            return;
        }
        isFirstOfBatch = this->sendQueues.empty();
        this->sendQueues[instance] += bytes;
    }
    this->sentFrames.add();
    this->sentBytes.add(static_cast<std::int64_t>(bytes.size()));
    // Only the first frame of a batch wakes the thread, so that a batch costs one system call.
    if (isFirstOfBatch) {
        this->wake();
    }
}

void Transport::Implementation::wake()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(this->wakeup, &one, sizeof(one));
}

void Transport::Implementation::stop()
{
    if (this->isStopping.exchange(true)) {
        return;
    }
    this->wake();
    this->thread.join();
    ::close(this->listener);
    for (auto &[name, connection] : this->outgoing) {
        this->closeOutgoing(*connection, "stopping");
    }
    while (!this->incoming.empty()) {
        this->closeIncoming(this->incoming.begin()->first);
    }
}

void Transport::Implementation::run()
{
    std::array<epoll_event, 64> events{};
    while (!this->isStopping) {
        const int count =
            ::epoll_wait(this->epoll, events.data(), static_cast<int>(events.size()), this->hasOpeningConnections ? maxOpeningPollMillis : maxPollMillis);
        for (int index = 0; index < count; ++index) {
            const int descriptor = events[static_cast<std::size_t>(index)].data.fd;
            if (descriptor == this->listener) {
                this->accept();
            } else if (descriptor == this->wakeup) {
                std::uint64_t value = 0;
                [[maybe_unused]] const ssize_t size = ::read(this->wakeup, &value, sizeof(value));
            } else if (this->incoming.contains(descriptor)) {
                this->readIncoming(descriptor);
            } else {
                this->handleOutgoingEvent(descriptor, (events[static_cast<std::size_t>(index)].events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0);
            }
        }
        this->drainSendQueues();
        this->servePending();
        if (controlNow() >= this->nextFullPass) {
            this->nextFullPass = controlNow() + fullPassInterval;
            this->serveAll();
        }
    }
}

void Transport::Implementation::servePending()
{
    std::vector<OutgoingConnection *> wanted;
    wanted.swap(this->pendingConnections);
    for (OutgoingConnection *connection : wanted) {
        connection->isPending = false;
        this->serveOutgoing(*connection);
    }
}

void Transport::Implementation::serveAll()
{
    this->hasOpeningConnections = false;
    for (auto &[name, connection] : this->outgoing) {
        this->serveOutgoing(*connection);
        this->hasOpeningConnections = this->hasOpeningConnections || (connection->socket >= 0 ? !connection->isConnected : !connection->buffer.empty());
    }
    this->closeUnauthenticated();
}

void Transport::Implementation::markPending(OutgoingConnection &connection)
{
    if (!std::exchange(connection.isPending, true)) {
        this->pendingConnections.push_back(&connection);
    }
}

void Transport::Implementation::addOutgoing(const std::string &name, const Endpoint &endpoint)
{
    auto connection = std::make_unique<OutgoingConnection>();
    connection->name = name;
    connection->endpoint = endpoint;
    this->outgoing.emplace(name, std::move(connection));
}

void Transport::Implementation::drainSendQueues()
{
    absl::flat_hash_map<std::string, std::string> drained;
    {
        const absl::MutexLock lock(&this->mutex);
        drained.swap(this->sendQueues);
    }
    for (auto &[name, bytes] : drained) {
        if (!this->outgoing.contains(name)) {
            const std::optional<Endpoint> endpoint = Endpoint::parse(name);
            if (!endpoint) {
                this->droppedFrames.add();
                log::warning("peer", "frame.dropped", {{"to", name}, {"reason", "the instance name is not an address"}});
                continue;
            }
            this->addOutgoing(name, *endpoint);
        }
        OutgoingConnection &connection = *this->outgoing.at(name);
        // Frames queued during the reconnect delay are sent with the next attempt; at startup, peers often become reachable within one delay.
        if (connection.buffer.size() - connection.sentBytes + bytes.size() > maxQueuedBytes) {
            this->droppedFrames.add();
            continue;
        }
        connection.buffer += bytes;
        this->hasOpeningConnections = this->hasOpeningConnections || connection.socket < 0;
        this->markPending(connection);
    }
}

void Transport::Implementation::serveOutgoing(OutgoingConnection &connection)
{
    if (connection.socket < 0) {
        const bool isWanted = !this->settings.acceptsUnknownPeers || !connection.buffer.empty();
        if (isWanted && controlNow() >= connection.nextAttempt) {
            this->connect(connection);
        }
        return;
    }
    if (!connection.isConnected) {
        int socketError = 0;
        socklen_t size = sizeof(socketError);
        ::getsockopt(connection.socket, SOL_SOCKET, SO_ERROR, &socketError, &size);
        const bool hasTimedOut = controlNow() - connection.connectingSince > connectTimeout;
        if (socketError != 0 || hasTimedOut) {
            this->closeOutgoing(connection, hasTimedOut ? "connect-timeout" : "connect-failed");
            return;
        }
        connection.isConnected = isSocketConnected(connection.socket);
    }
    if (connection.isConnected) {
        this->flush(connection);
    }
}

void Transport::Implementation::connect(OutgoingConnection &connection)
{
    connection.socket = openSocket(connection.endpoint);
    this->bySocket[connection.socket] = &connection;
    this->hasOpeningConnections = true;
    connection.connectingSince = controlNow();
    setOutgoingOptions(connection.socket);
    const SocketAddress address = toSocketAddress(connection.endpoint);
    const int result = ::connect(connection.socket, address.pointer(), address.size);
    if (result != 0 && errno != EINPROGRESS) {
        this->closeOutgoing(connection, "connect-failed");
        return;
    }
    epoll_event event{};
    event.events = EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.fd = connection.socket;
    ::epoll_ctl(this->epoll, EPOLL_CTL_ADD, connection.socket, &event);
    const std::string bytes = encodeHello(this->settings.id, this->settings.cellKey);
    connection.helloBytes = bytes.size();
    connection.buffer.insert(0, bytes);
}

void Transport::Implementation::reconnect(OutgoingConnection &connection)
{
    this->bySocket.erase(connection.socket);
    ::close(connection.socket);
    connection.buffer.erase(0, connection.helloBytes);
    this->connect(connection);
}

void Transport::Implementation::closeOutgoing(OutgoingConnection &connection, const char *reason)
{
    const std::size_t unsent = connection.buffer.size() - connection.sentBytes;
    if (!this->isStopping) {
        this->discardedBytes.add(static_cast<std::int64_t>(unsent));
    }
    if (connection.isConnected && !this->isStopping) {
        this->lostConnections.add();
        log::info("peer", "connection.lost", {{"to", connection.name}, {"reason", reason}, {"discardedBytes", unsent}});
    }
    if (connection.socket >= 0) {
        this->bySocket.erase(connection.socket);
        ::close(connection.socket);
    }
    connection.socket = -1;
    connection.isConnected = false;
    connection.nextAttempt = controlNow() + reconnectDelay;
    // Queued frames are outdated by the time the peer is reachable again; the protocols that use the transport resend.
    connection.buffer.clear();
    connection.sentBytes = 0;
}

void Transport::Implementation::handleOutgoingEvent(int socket, bool isClosed)
{
    const auto found = this->bySocket.find(socket);
    if (found == this->bySocket.end()) {
        return;
    }
    OutgoingConnection &connection = *found->second;
    this->markPending(connection);
    // Peers send nothing over this connection, so only its end can be detected here. Closing it now makes the next frame open a new
    // connection immediately instead of being lost in this one.
    if (isClosed && connection.isConnected) {
        this->closeOutgoing(connection, "closed-by-peer");
        connection.nextAttempt = controlNow();
    }
}

void Transport::Implementation::flush(OutgoingConnection &connection)
{
    std::size_t &sent = connection.sentBytes;
    while (sent < connection.buffer.size()) {
        const ssize_t count = ::send(connection.socket, connection.buffer.data() + sent, connection.buffer.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        if (count <= 0) {
            this->closeOutgoing(connection, "send-failed");
            return;
        }
        sent += static_cast<std::size_t>(count);
    }
    // A long queue is sent in many small pieces; moving the remainder to the front after each would make the total cost quadratic.
    if (sent * 2 >= connection.buffer.size()) {
        connection.buffer.erase(0, std::exchange(sent, 0));
    }
    if (connection.buffer.size() - sent > maxQueuedBytes) {
        this->closeOutgoing(connection, "queue-full");
    }
}

void Transport::Implementation::accept()
{
    while (true) {
        const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0) {
            return;
        }
        // A peer has one connection; twice that allows for half-open connections left by a restart.
        const std::size_t maxIncoming = this->settings.acceptsUnknownPeers ? maxUnknownPeers : this->settings.peers.size() * std::size_t{2} + std::size_t{8};
        if (this->incoming.size() >= maxIncoming) {
            this->refusedConnections.add();
            ::close(socket);
            continue;
        }
        setIncomingOptions(socket);
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = socket;
        ::epoll_ctl(this->epoll, EPOLL_CTL_ADD, socket, &event);
        this->incoming[socket].openedAt = controlNow();
    }
}

void Transport::Implementation::closeIncoming(int socket)
{
    ::close(socket);
    this->incoming.erase(socket);
}

void Transport::Implementation::closeUnauthenticated()
{
    for (auto connection = this->incoming.begin(); connection != this->incoming.end();) {
        const auto current = connection++;
        if (!current->second.isAuthenticated && controlNow() - current->second.openedAt > helloTimeout) {
            this->refusedConnections.add();
            this->closeIncoming(current->first);
        }
    }
}

void Transport::Implementation::readIncoming(int socket)
{
    IncomingConnection &connection = this->incoming.at(socket);
    const ssize_t count = ::recv(socket, this->readBuffer.data(), this->readBuffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count <= 0) {
        this->closeIncoming(socket);
        return;
    }
    this->receivedBytes.add(count);
    connection.buffer.append(this->readBuffer.data(), static_cast<std::size_t>(count));
    try {
        this->receiveFrames(socket, connection);
    } catch (const Error &error) {
        this->refusedConnections.add();
        log::warning("peer", "connection.refused", {{"error", paddlepier::nameOf(error.code())}, {"message", error.what()}});
        this->closeIncoming(socket);
    }
}

void Transport::Implementation::receiveFrames(int socket, IncomingConnection &connection)
{
    std::size_t offset = 0;
    while (const std::optional<std::string> body = extractFrameBody(connection.buffer, offset, maxFrameBytes)) {
        auto frame = wire::unpack<wire::PeerFrameT>(*body);
        if (!connection.isAuthenticated) {
            this->handleHello(connection, frame);
            continue;
        }
        this->receivedFrames.add();
        frame.fromInstance = connection.instance;
        this->receiver(std::move(frame));
    }
    connection.buffer.erase(0, offset);
}

void Transport::Implementation::handleHello(IncomingConnection &connection, const wire::PeerFrameT &frame)
{
    const auto *hello = frame.body.AsHello();
    if (hello == nullptr) {
        throw PeerRefusedError("first frame is not a Hello");
    }
    if (hello->version != protocolVersion) {
        throw PeerRefusedError(absl::StrCat("unsupported protocol version ", hello->version, "; expected ", protocolVersion));
    }
    if (!constantTimeEquals(hello->key, this->settings.cellKey)) {
        throw PeerRefusedError("cell key does not match");
    }
    const bool isKnown =
        this->settings.acceptsUnknownPeers ? Endpoint::parse(hello->instance).has_value() : this->settings.findPeer(hello->instance) != nullptr;
    if (!isKnown) {
        throw PeerRefusedError(absl::StrCat("unknown instance ", hello->instance));
    }
    connection.instance = hello->instance;
    connection.isAuthenticated = true;
    // The peer is up. A connection attempt that started before may have been lost, and would be retried only after its timeout.
    const auto outgoingToPeer = this->outgoing.find(hello->instance);
    if (outgoingToPeer != this->outgoing.end() && outgoingToPeer->second->socket >= 0 && !outgoingToPeer->second->isConnected) {
        this->reconnect(*outgoingToPeer->second);
    }
}

Transport::Transport(const Settings &settings, Counters &counters, Receiver receiver)
    : implementation(std::make_unique<Implementation>(settings, counters, std::move(receiver)))
{
}

Transport::~Transport() = default;

void Transport::send(const std::string &instance, const wire::PeerFrameT &frame)
{
    this->implementation->send(instance, frame);
}

void Transport::stop()
{
    this->implementation->stop();
}

} // namespace paddlepier::peer
