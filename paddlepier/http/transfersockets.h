// Sockets of the transfers of one thread: waits for what happens at them, and knows which ones rest between two calls.
//
// A wait costs O(events), however many sockets are open. A socket that rests stays registered, so that a call over a kept
// connection needs no system call for its registration.
//
// A connection can fall silent for good without a reset; only a call that times out shows it. retire() then closes the
// other connections to that address that have rested since before that call, so that none of them costs a time-out of
// its own. Resting connections are also probed by TCP, so that one that fell silent between two calls is found closed.
//
// Example:
//     TransferSockets sockets;
//     sockets.prepare(socket);                                  // before it is connected
//     sockets.watch(socket, "http://10.0.0.1:80", true, false);
//     for (const auto &event : sockets.wait(absl::Milliseconds(100))) { ... }
//     sockets.rest(socket);                                     // its call has ended
//     sockets.retire("http://10.0.0.1:80", callBegan);          // a call to the address timed out
//
// Thread safety: none, but wake() may be called from any thread.

#ifndef PADDLEPIER_HTTP_TRANSFERSOCKETS_H
#define PADDLEPIER_HTTP_TRANSFERSOCKETS_H

#include "paddlepier/base/clock.h"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <cstdint>
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

    /** Sets the options of a new socket: TCP probes it while it rests. */
    void setSocketOptions(int socket);

    /** A call to @p address is under way at @p socket and waits to read, to write or for both. */
    void watch(int socket, const std::string &address, bool reads, bool writes);

    /** The call at @p socket has ended; it may be closed already if no connection was ever open there. */
    void markIdle(int socket);

    /** @p socket is about to be closed. */
    void remove(int socket);

    /** Waits up to @p patience for events of watched sockets or wake(). @return valid until the next call */
    const std::vector<Event> &wait(Duration patience);

    /** Whatever came at the sockets until then has been told by wait(). */
    Timestamp eventsReportedUntil() const;

    /** Ends a wait, this one or the next; calls until then cost no system call. */
    void wake();

    /** Shuts connections to @p address down that have rested since before @p since. O(connections to the address). */
    void shutDownIdle(const std::string &address, Timestamp since);

private:
    struct WatchedSocket {
        std::string address;
        /** A call waited for an answer there, so that forget() will tell of its end. */
        bool wasConnected = false;
        /** As registered; none if the socket isn't registered. */
        std::uint32_t events = 0;
        /** Infinite while a call is under way. */
        Timestamp idleSince = absl::InfiniteFuture();
    };

    void updateReportedUntil(std::size_t events);
    void setEvents(int socket, WatchedSocket &watched, std::uint32_t events);

    int epoll = -1;
    int wakeup = -1;
    /** wake() was called and no wait has ended by it yet. */
    std::atomic<bool> isWakePending{false};
    absl::flat_hash_map<int, WatchedSocket> sockets;
    // Invariant: holds exactly the keys of `sockets`, by address.
    absl::flat_hash_map<std::string, std::vector<int>> byAddress;
    std::vector<Event> readyEvents;
    /** Waits in a row that may have left events, and when the first of them began. */
    std::size_t incompleteWaits = 0;
    Timestamp firstIncompleteWait;
    Timestamp reportedUntil = absl::InfinitePast();
};

} // namespace paddlepier::http

#endif
