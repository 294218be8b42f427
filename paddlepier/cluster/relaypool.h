// Chooses the core instance that relays an order to a worker.
//
// Only the leader decides, but any core instance can send an order and read the answer. In a cell that is small enough
// for one process the leader sends orders itself, without the detour over another instance. In a larger cell each
// worker is assigned to one instance, in its own data centre if possible, so that connections are reused. An instance
// that left an order unanswered relays none for a while; other instances do, or the leader if there is no other one.
//
// Example:
//     relays.markAlive(now, instance, dataCentre);
//     const std::string relay = relays.choose(now, workerCount, worker, dataCentre);
//     if (relay.empty()) { /* the leader sends the order itself */ }
//
// Thread safety: none; owned by the control thread. Cost: choose() is O(core instances).

#ifndef PADDLEPIER_CLUSTER_RELAYPOOL_H
#define PADDLEPIER_CLUSTER_RELAYPOOL_H

#include "paddlepier/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace paddlepier::cluster
{

class RelayPool
{
public:
    /**
     * Records that another core instance is reachable.
     *
     * @param incarnation  a new value after each start of the instance
     * @return false if the instance has restarted: the orders that it was relaying are lost
     */
    bool markAlive(Timestamp now, const std::string &instance, const std::string &dataCentre, std::uint64_t incarnation = 0);
    /** True if the instance has reported its presence recently. */
    bool isAlive(Timestamp now, const std::string &instance) const;
    /** Records that the instance left an order unanswered. @return false if it is avoided already */
    bool recordFailure(Timestamp now, const std::string &instance);

    /** Records that an order didn't reach @p worker. Later orders use other relays, since the worker may be unreachable from this one only. */
    void recordUnreachable(const std::string &worker);

    /** @return the instance that relays orders to @p worker, or an empty name if the leader sends them itself */
    std::string choose(Timestamp now, std::size_t workerCount, const std::string &worker, const std::string &dataCentre) const;

private:
    struct Relay {
        std::string dataCentre;
        std::uint64_t incarnation = 0;
        Timestamp lastSeenAt;
        Timestamp avoidedUntil = absl::InfinitePast();

        bool isAlive(Timestamp now) const;
    };

    std::map<std::string, Relay> relays;
    /**
     * Failed deliveries by worker id. Each failure changes the choice of the relay, and every other one also admits relays of any data
     * centre. Keyed by id, not by incarnation, because it describes the network path to the worker.
     */
    std::map<std::string, std::uint32_t> unreachableCounts;
};

} // namespace paddlepier::cluster

#endif
