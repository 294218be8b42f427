// The sockets of one thread's transfers: waits for events on them, and tracks which ones are idle between two calls.
//
// A wait costs O(events), regardless of the number of open sockets. An idle socket stays registered with epoll, so that a call over a reused
// connection needs no system call to register it.
//
// A connection can become unresponsive for good without a reset, which only a call that times out reveals. shutDownIdle() then shuts down the
// other connections to that address that have been idle since before that call, so that they don't each cost another timeout. Idle
// connections are also probed by TCP keepalive, so that one that fails between two calls is found closed.
//
// Example:
//     TransferSockets sockets;
//     sockets.setSocketOptions(socket);                         // before it is connected
//     sockets.watch(socket, "http://10.0.0.1:80", true, false);
//     for (const auto &event : sockets.wait(absl::Milliseconds(100))) { ... }
//     sockets.markIdle(socket);                                 // its call has ended
//     sockets.shutDownIdle("http://10.0.0.1:80", callStart);    // a call to the address timed out
//
// Thread safety: none, except that wake() may be called from any thread.

#ifndef PADDLEPIER_HTTP_TRANSFERSOCKETS_H
#define PADDLEPIER_HTTP_TRANSFERSOCKETS_H

#include "paddlepier/base/clock.h"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace paddlepier::http
{

class TransferSockets
{
public:
    struct Event {
        int socket = -1;
        bool isReadable = false;
        bool isWritable = false;
        bool hasFailed = false;
    };

    TransferSockets();
    ~TransferSockets();

    TransferSockets(const TransferSockets &) = delete;
    TransferSockets &operator=(const TransferSockets &) = delete;

    /**
     * Sets the options of a new socket: TCP keepalive, and how long sent data may stay unacknowledged. Stops tracking an earlier socket with the
     * same descriptor.
     */
    void setSocketOptions(int socket);

    /**
     * When the connection with local port @p localPort was established, at the latest. Must be called each time before a request is sent over it.
     * @param isNew whether this is its first request
     */
    Timestamp establishedAt(int localPort, bool isNew);

    /** Registers interest in @p socket, over which a call to @p address is in flight, becoming readable, writable or either. */
    void watch(int socket, const std::string &address, bool reads, bool writes);

    /** The call over @p socket has ended. The socket may already be closed if its connection was never established. */
    void markIdle(int socket);

    /** Stops tracking @p socket, which is about to be closed. */
    void remove(int socket);

    /** Waits up to @p timeout for events on watched sockets or for wake(). @return the events, valid until the next call */
    const std::vector<Event> &wait(Duration timeout);

    /** Time up to which all events on the sockets have been returned by wait(). */
    Timestamp eventsReportedUntil() const;

    /** Ends the current wait, or the next one. Further calls before that wait ends make no system call. */
    void wake();

    /** Number of connections to @p address, idle or with a call in flight. */
    std::size_t openCount(const std::string &address) const;
    /** Of these, the connections over which a call has been completed. */
    std::size_t provenCount(const std::string &address) const;

    /** Shuts down connections to @p address that have been idle since @p since or longer. O(connections to the address). */
    void shutDownIdle(const std::string &address, Timestamp since);
    /** Shuts down connections that have been idle since @p since or longer, unless @p isKept holds for their address. O(sockets). */
    void shutDownIdle(Timestamp since, const std::function<bool(const std::string &address)> &isKept);

private:
    struct WatchedSocket {
        std::string address;
        /** A call has waited to read from it. The connection was thus established, and remove() will be called before it is closed. */
        bool wasConnected = false;
        /** A call over it has been completed. */
        bool isProven = false;
        /** Events registered with epoll; 0 if the socket isn't registered. */
        std::uint32_t events = 0;
        /** InfiniteFuture while a call is in flight. */
        Timestamp idleSince = absl::InfiniteFuture();
    };

    void updateReportedUntil(std::size_t events);
    void setEvents(int socket, WatchedSocket &watched, std::uint32_t events);

    int epoll = -1;
    int wakeup = -1;
    /** wake() was called and has not yet ended a wait. */
    std::atomic<bool> isWakePending{false};
    absl::flat_hash_map<int, WatchedSocket> sockets;
    /** By local port; an entry remains until the port is used again. */
    absl::flat_hash_map<int, Timestamp> establishedAtByPort;
    // Invariant: holds exactly the keys of `sockets`, by address.
    absl::flat_hash_map<std::string, std::vector<int>> byAddress;
    std::vector<Event> readyEvents;
    /** Number of consecutive waits that may have left events unreported, and the start of the first of them. */
    std::size_t incompleteWaits = 0;
    Timestamp firstIncompleteWait;
    Timestamp reportedUntil = absl::InfinitePast();
};

} // namespace paddlepier::http

#endif
