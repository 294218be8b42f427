// Connections of one instance to its peers, and the thread that serves them.
//
// Included by transport.cpp alone.
//
// Thread safety: send() and stop() from any thread; everything else belongs to the transport's own thread.

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

/** Bytes that one read takes at most. */
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
        /** Of `buffer`: what has been sent already. */
        std::size_t sentBytes = 0;
        /** Length of the Hello at the beginning of `buffer`, until the connection is open. */
        std::size_t helloBytes = 0;
        /** It is in the list of those to serve. */
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
    /** Gives an attempt up for a new one; what waits goes out with it. */
    void reconnect(OutgoingConnection &outgoing);
    void closeOutgoing(OutgoingConnection &outgoing);
    /** Something has happened at an outgoing connection: it is open, takes bytes again, or was closed by its peer. */
    void handleOutgoingEvent(int socket, bool isClosed);
    /** Serves the connections with something to do: which have bytes to send, or at whose sockets something has happened. */
    void servePending();
    /** Serves all, for what only time changes: late connects, pauses that are over, peers that say nothing. */
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
    int epoll = -1;
    int wakeup = -1;
    int listener = -1;
    std::atomic<bool> isStopping{false};
    absl::Mutex mutex;
    /** Bytes that send() handed over, by peer. */
    absl::flat_hash_map<std::string, std::string> sendQueues ABSL_GUARDED_BY(mutex);
    // Of the transport's thread once it runs.
    absl::flat_hash_map<std::string, std::unique_ptr<OutgoingConnection>> outgoing;
    absl::flat_hash_map<int, OutgoingConnection *> bySocket;
    std::vector<OutgoingConnection *> pendingConnections;
    Timestamp nextFullPass = absl::InfinitePast();
    /** Some connection is opening, or waits for its next try. */
    bool hasOpeningConnections = true;
    absl::flat_hash_map<int, IncomingConnection> incoming;
    /** What one read brings; kept, since to clear it anew costs more than the read of a short frame. */
    std::vector<char> readBuffer = std::vector<char>(detail::maxReadBytes);
    std::thread thread;
};

} // namespace paddlepier::peer

#endif
