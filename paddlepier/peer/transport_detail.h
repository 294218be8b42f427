// Connections of one instance to its peers, and the thread that serves them.
//
// Included only by transport.cpp.
//
// Thread safety: send() and stop() may be called from any thread; everything else runs on the transport's thread.

#ifndef PADDLEPIER_PEER_TRANSPORT_DETAIL_H
#define PADDLEPIER_PEER_TRANSPORT_DETAIL_H

#include "paddlepier/base/clock.h"
#include "paddlepier/peer/transport.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <thread>
#include <vector>

namespace paddlepier::peer
{

namespace detail
{

/** Limit on the bytes of one read. */
constexpr std::size_t maxReadBytes = 65536;

} // namespace detail

class Transport::Implementation
{
public:
    Implementation(const Settings &instanceSettings, Counters &counters, Receiver frameReceiver);
    ~Implementation();

    void send(const std::string &instance, const wire::PeerFrameT &frame);
    void stop();

private:
    struct OutgoingConnection {
        std::string name;
        Endpoint endpoint;
        int socket = -1;
        bool isConnected = false;
        Timestamp nextAttempt = absl::InfinitePast();
        Timestamp connectingSince;
        std::string buffer;
        /** Length of the prefix of `buffer` that has been sent. */
        std::size_t sentBytes = 0;
        /** Length of the Hello at the start of `buffer`; valid until the connection is established. */
        std::size_t helloBytes = 0;
        /** It is in `pendingConnections`. */
        bool isPending = false;
    };

    struct IncomingConnection {
        std::string buffer;
        std::string instance;
        bool isAuthenticated = false;
        Timestamp openedAt;
    };

    void listen();
    void run();
    void wake();
    void drainSendQueues();
    void addOutgoing(const std::string &name, const Endpoint &endpoint);
    void serveOutgoing(OutgoingConnection &outgoing);
    void connect(OutgoingConnection &outgoing);
    /** Replaces a connection attempt by a new one; queued frames are kept. */
    void reconnect(OutgoingConnection &outgoing);
    /** @param reason  for the log */
    void closeOutgoing(OutgoingConnection &outgoing, const char *reason);
    /** Handles an event on an outgoing connection: established, writable again, or closed by the peer. */
    void handleOutgoingEvent(int socket, bool isClosed);
    /** Serves the connections that have bytes to send or events on their sockets. */
    void servePending();
    /** Serves all connections, to handle what expires: connect timeouts, reconnect delays, and peers that send no Hello. */
    void serveAll();
    void markPending(OutgoingConnection &connection);
    void flush(OutgoingConnection &outgoing);
    void accept();
    void readIncoming(int socket);
    void receiveFrames(int socket, IncomingConnection &incoming);
    void handleHello(IncomingConnection &incoming, const wire::PeerFrameT &frame);
    void closeIncoming(int socket);
    void closeUnauthenticated();

    const Settings settings;
    const Receiver receiver;
    Counter &sentFrames;
    Counter &sentBytes;
    Counter &receivedFrames;
    Counter &receivedBytes;
    Counter &droppedFrames;
    Counter &refusedConnections;
    Counter &lostConnections;
    Counter &discardedBytes;
    int epoll = -1;
    int wakeup = -1;
    int listener = -1;
    std::atomic<bool> isStopping{false};
    absl::Mutex mutex;
    /** Frames queued by send(), by peer. */
    absl::flat_hash_map<std::string, std::string> sendQueues ABSL_GUARDED_BY(mutex);
    // Accessed only by the transport's thread once it runs.
    absl::flat_hash_map<std::string, std::unique_ptr<OutgoingConnection>> outgoing;
    absl::flat_hash_map<int, OutgoingConnection *> bySocket;
    std::vector<OutgoingConnection *> pendingConnections;
    Timestamp nextFullPass = absl::InfinitePast();
    /** Some connection is being established, or waits for its next attempt. */
    bool hasOpeningConnections = true;
    absl::flat_hash_map<int, IncomingConnection> incoming;
    /** Reused by all reads, since clearing a new buffer costs more than reading a short frame. */
    std::vector<char> readBuffer = std::vector<char>(detail::maxReadBytes);
    std::thread thread;
};

} // namespace paddlepier::peer

#endif
