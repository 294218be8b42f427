// A TCP forwarder on loopback that a test can cut.
//
// It listens only while its target runs and the link isn't cut, so that a connection to a dead or cut-off target is
// refused, as it would be without the forwarder.
//
// Thread safety: setCut() and setTargetRunning() from any thread; the forwarding runs on a thread of its own.

#ifndef PADDLEPIER_TESTING_FORWARDER_H
#define PADDLEPIER_TESTING_FORWARDER_H

#include <atomic>
#include <cstdint>
#include <map>
#include <thread>

namespace paddlepier::testing
{

class Forwarder
{
public:
    /** Listens on @p port and forwards to @p target, both on 127.0.0.1. */
    Forwarder(std::uint16_t port, std::uint16_t target);
    ~Forwarder();

    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    void setCut(bool isCut);
    void setTargetRunning(bool isRunning);

private:
    void run();
    bool isOpen() const;
    void listen();
    void close();
    void accept();
    void pass(int from);
    void closePair(int socket);

    const std::uint16_t ownPort;
    const std::uint16_t targetPort;
    int listener = -1;
    std::map<int, int> others;
    std::atomic<bool> cut{false};
    std::atomic<bool> targetRunning{false};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace paddlepier::testing

#endif
