// Brings orders to workers, by the leader itself or through another core instance, and past one that doesn't answer.
//
// A core that dies or is cut off takes the orders along that are on their way through it, a fifth of a cell's, and a worker
// may leave an order unanswered and carry it out seconds later. To wait for the time out costs about a second, more than a
// quick job has to spare. A start or a stop that isn't answered soon is therefore sent a second time, directly: a worker carries
// a run's start out once, however often it comes, so that both may arrive. An answer that settles the order counts at once; a
// refusal doesn't, as long as the other one may still arrive and be carried out.
//
// The poll of an idle worker goes on at the instance that carries it until something changes, for many seconds (workerwatch.h). Where that
// instance shows itself no longer, has started again or is doubted, its watches end here at once, without an answer.
//
// An instance that has answered nothing at all since a late order was sent carries none for a while. One late answer is no
// reason: the worker may be at fault, and a carrier that is taken out for it leaves its work to the others, until they are
// late as well.
//
// Example:
//     OrderCarrying carrying(ways);
//     carrying.carry(now, {workerCount, dataCentre}, call, done);
//
// Thread safety: none; owned by the control thread, which calls back. Cost: O(core instances) an order.

#ifndef PADDLEPIER_CLUSTER_ORDERRELAY_H
#define PADDLEPIER_CLUSTER_ORDERRELAY_H

#include "paddlepier/base/clock.h"
#include "paddlepier/cluster/relaypool.h"
#include "paddlepier/execution/orders.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace paddlepier::cluster
{

/** What another instance made of an order. */
enum class RelayOutcome {
    /** It has a worker's answer, or its silence. */
    Answered,
    /** It is stopping, and has done nothing. */
    Declined,
    /** Nothing came by the deadline. */
    TimedOut
};

struct RelayResult {
    RelayOutcome outcome = RelayOutcome::TimedOut;
    execution::WorkerAnswer answer;
};

/** How orders leave this process; each calls back once, on the control thread. */
struct RelayHooks {
    std::function<void(const execution::WorkerCall &call, std::function<void(const execution::WorkerAnswer &)> done)> sendDirect;
    std::function<void(const std::string &instance, const execution::WorkerCall &call, Timestamp deadline, std::function<void(const RelayResult &)> done)>
        sendVia;
    std::function<void(Timestamp at, std::function<void()> action)> runAt;
    std::function<Timestamp()> now;
};

/** Where an order goes. */
struct RelayTarget {
    std::size_t workerCount = 0;
    std::string dataCentre;
};

class OrderRelay
{
public:
    using Done = std::function<void(const execution::WorkerAnswer &)>;

    explicit OrderRelay(RelayHooks carryingWays);

    void send(const RelayTarget &place, const execution::WorkerCall &call, const Done &done);

    /** Another core instance has shown that it is there; @p incarnation is another one after each of its starts. */
    void markAlive(Timestamp now, const std::string &instance, const std::string &dataCentre, std::uint64_t incarnation = 0);
    /** Ends the watches of an instance that hasn't shown itself by @p seenUntil, one at a time; call it often. */
    void tick(Timestamp seenUntil);

    /** This process leads no more: whoever leads now has the workers polled. */
    void abandonWatches();

private:
    /** One of the two ways that an order may take. */
    struct Attempt {
        bool isPending = false;
        /** Once it is closed: what came of it; NotSent if nothing was done. */
        execution::AnswerKind result = execution::AnswerKind::NotSent;
    };
    struct PendingOrder {
        execution::WorkerCall call;
        std::string relay;
        Timestamp sentAt;
        Done done;
        /** Through the carrier, or directly where there is none. */
        Attempt primary;
        /** Directly, if the first one was late. */
        Attempt hedge;
        bool isDone = false;
    };
    using OrderPtr = std::shared_ptr<PendingOrder>;

    void endWatchesOf(const std::string &carrier);
    /** An order through a carrier is late: the carrier itself is at fault if it has answered nothing at all since then. */
    void suspectRelay(const PendingOrder &order);
    void handleRelayResult(const OrderPtr &pending, const RelayResult &carried);
    void sendHedge(const OrderPtr &pending);
    void handleHedgeAnswer(const OrderPtr &pending, const execution::WorkerAnswer &answer);
    /** A way has closed with @p answer: ends the order if that settles it, or if no other way is open. */
    void completeAttempt(const OrderPtr &pending, Attempt &way, const execution::WorkerAnswer &answer);
    /** Of the order as a whole: uncertain if one of its ways is. */
    static execution::AnswerKind combinedResult(const PendingOrder &order);

    const RelayHooks hooks;
    RelayPool relays;
    /** When each carrier last answered an order, whatever it said. */
    std::map<std::string, Timestamp> lastAnsweredAt;
    /** Watches under way, by their carriers. */
    std::map<std::string, std::set<OrderPtr>> watches;
    Timestamp nextWatchEnd = absl::InfinitePast();
    /** Orders sent both ways and not over. */
    std::size_t hedgesInFlight = 0;
};

} // namespace paddlepier::cluster

#endif
