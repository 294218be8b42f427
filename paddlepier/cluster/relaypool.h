// Chooses the core instance that carries an order to a worker out.
//
// The leader alone decides; to send an order and read its answer is work that any core instance can do. A cell that is
// small enough for one process is served by the leader itself, without the way over another instance. In a larger one each
// worker belongs to one instance, in its own data centre where there is one, so that connections are kept and used again.
// An instance that has let an order go unanswered carries none for a while; the leader does.
//
// Example:
//     carriers.noteAlive(now, instance, dataCentre);
//     const std::string carrier = carriers.choose(now, workerCount, worker, dataCentre);
//     if (carrier.empty()) { /* the leader itself */ }
//
// Thread safety: none; owned by the control thread. choose() costs O(core instances).

#ifndef PADDLEPIER_CLUSTER_RELAYPOOL_H
#define PADDLEPIER_CLUSTER_RELAYPOOL_H

#include "paddlepier/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace paddlepier::cluster
{

class Carriers
{
public:
    /**
     * Another core instance has shown that it is there.
     *
     * @param incarnation  another one after each of its starts
     * @return false if it has started again: what it was to carry out is lost
     */
    bool noteAlive(Timestamp now, const std::string &instance, const std::string &dataCentre, std::uint64_t incarnation = 0);
    /** It has shown itself lately. */
    bool isAlive(Timestamp now, const std::string &instance) const;
    /** It has left an order without an answer. @return false if it is avoided already */
    bool noteFailure(Timestamp now, const std::string &instance);

    /** An order to @p worker came to nothing: the next ones go another way, since the worker may be out of this one's reach alone. */
    void noteUnreached(const std::string &worker);

    /** @return the instance that carries orders to @p worker, or an empty name for the leader itself */
    std::string choose(Timestamp now, std::size_t workerCount, const std::string &worker, const std::string &dataCentre) const;

private:
    struct Carrier {
        std::string dataCentre;
        std::uint64_t incarnation = 0;
        Timestamp aliveAt;
        Timestamp avoidedUntil = absl::InfinitePast();

        bool isAlive(Timestamp now) const;
    };

    std::map<std::string, Carrier> carriers;
    /**
     * How often workers weren't reached; each time another instance comes to be chosen, every other time of any data centre. By id,
     * since it is about the way to a worker, whichever of its lives is there.
     */
    std::map<std::string, std::uint32_t> unreached;
};

} // namespace paddlepier::cluster

#endif
