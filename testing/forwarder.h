// A TCP forwarder on loopback through which tests inject link faults: partitions, resets, delays and silent connections.
//
// It listens only while its target runs and the link is not cut, so that a connection to a dead or partitioned target is
// refused, as it would be without the forwarder. Silenced connections and one-way loss drop segments below TCP: nothing is
// acknowledged, and new connections hang during one-way loss, as in a network partition between machines.
//
// Thread safety: all methods from any thread; the forwarding runs on a separate thread.

#ifndef PADDLEPIER_TESTING_FORWARDER_H
#define PADDLEPIER_TESTING_FORWARDER_H

#include "paddlepier/base/clock.h"
#include "testing/networkspace.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <poll.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace paddlepier::testing
{

/** One end of a forwarder. */
struct ForwarderEnd {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    /** Null: the network namespace of the process. */
    const NetworkSpace *space = nullptr;
};

/** Direction of data, as seen from the side that opened the connection. */
enum class Direction { ToTarget, FromTarget };

class Forwarder
{
public:
    /** Listens on @p port and forwards to @p target, both on 127.0.0.1. */
    Forwarder(std::uint16_t port, std::uint16_t target);
    Forwarder(ForwarderEnd listenAt, ForwarderEnd forwardTo);
    ~Forwarder();

    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    void setCut(bool isCut);
    /** Doesn't close open connections to a target that has stopped: they end when its process does. */
    void setTargetRunning(bool isRunning);

    /** Delays data that arrives from now on, in both directions. */
    void setDelay(Duration time);
    /** Drops segments in one direction, and all connection attempts, until reset; TCP then retransmits them. */
    void setLoss(Direction direction, bool isLost);
    /** Resets all open connections. */
    void resetAll();
    /** Connections that are open now transfer no more data and are not closed; new connections work. */
    void silenceAll();

private:
    struct Chunk {
        Timestamp due;
        /** Empty: the sender has closed its side. */
        std::string bytes;
    };
    struct Socket {
        int other = -1;
        bool isIncoming = false;
        bool hasEnded = false;
        std::deque<Chunk> buffered;
        std::size_t bufferedBytes = 0;
    };

    void run();
    bool isOpen() const;
    void listen() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void closeListener() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void closeAll(bool asReset) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::vector<pollfd> pollEntries(int &timeoutMillis) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void handle(const pollfd &entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void accept() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void read(int from) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /** @return false if the pair is to be closed */
    bool write(int to) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void closePair(int socket, bool asReset) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void applyLoss(int socket, bool isIncoming) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const ForwarderEnd listenEnd;
    const ForwarderEnd target;
    absl::Mutex mutex;
    int listener ABSL_GUARDED_BY(mutex) = -1;
    std::map<int, Socket> sockets ABSL_GUARDED_BY(mutex);
    std::vector<int> silenced ABSL_GUARDED_BY(mutex);
    std::map<Direction, bool> lossByDirection ABSL_GUARDED_BY(mutex);
    Duration delay ABSL_GUARDED_BY(mutex) = absl::ZeroDuration();
    /** When the listener's address was first in use; infinite future if the last attempt succeeded. */
    Timestamp addressInUseSince ABSL_GUARDED_BY(mutex) = absl::InfiniteFuture();
    std::atomic<bool> cut{false};
    std::atomic<bool> targetRunning{false};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace paddlepier::testing

#endif
