// A TCP forwarder on loopback, with which a test disturbs a link: cuts, resets, delays and silence.
//
// It listens only while its target runs and the link isn't cut, so that a connection to a dead or cut-off target is
// refused, as it would be without the forwarder. What is silenced or cut one way is dropped below TCP: nothing is
// acknowledged there, and connections that open meanwhile hang, as they do behind a cut between machines.
//
// Thread safety: all methods from any thread; the forwarding runs on a thread of its own.

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
    /** Null: the space of the process. */
    const NetworkSpace *space = nullptr;
};

/** Direction of bytes, seen from who opened the connection. */
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
    /** What is open to a target that has ended is left to the end of its process. */
    void setTargetRunning(bool isRunning);

    /** Holds up what arrives from now on, in both directions. */
    void setDelay(Duration time);
    /** Loses what goes one way, and what would open a connection, until it's taken back; TCP then sends it again. */
    void setLost(Direction way, bool isLost);
    /** Resets what is open. */
    void resetAll();
    /** Connections that are open now never carry anything again, and aren't closed; new ones work. */
    void silenceAll();

private:
    struct Chunk {
        Timestamp due;
        /** Empty: the sender has closed. */
        std::string bytes;
    };
    struct Socket {
        int other = -1;
        bool isIncoming = false;
        bool hasEnded = false;
        std::deque<Chunk> waiting;
        std::size_t waitingBytes = 0;
    };

    void run();
    bool isOpen() const;
    void listen() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void closeListener() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void closeAll(bool asReset) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::vector<pollfd> waitingFor(int &patienceMillis) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void handle(const pollfd &entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void accept() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void read(int from) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /** @return false if the pair is to be closed */
    bool write(int to) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void closePair(int socket, bool asReset) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void applyLoss(int socket, bool isIncoming) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const ForwarderEnd own;
    const ForwarderEnd target;
    absl::Mutex mutex;
    int listener ABSL_GUARDED_BY(mutex) = -1;
    std::map<int, Socket> sockets ABSL_GUARDED_BY(mutex);
    std::vector<int> silenced ABSL_GUARDED_BY(mutex);
    std::map<Direction, bool> lossByDirection ABSL_GUARDED_BY(mutex);
    Duration delay ABSL_GUARDED_BY(mutex) = absl::ZeroDuration();
    std::atomic<bool> cut{false};
    std::atomic<bool> targetRunning{false};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace paddlepier::testing

#endif
