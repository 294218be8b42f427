// Sends orders to workers, directly or through another core instance, and hedges orders that aren't answered in time.
//
// A core that crashes or is cut off loses the orders that it is relaying, a fifth of a cell's, and a worker may leave
// an order unanswered and execute it seconds later. Waiting for the timeout costs about a second, more than a quick job
// can afford. A start or stop without a timely answer is therefore sent a second time, directly. Both copies may
// arrive: a worker executes the start of a run only once. A conclusive answer ends the order at once; a refusal doesn't
// while the other copy may still arrive and be executed.
//
// The relay of an idle worker's poll repeats it for many seconds until something changes (workerwatch.h). If the relay
// stops reporting its presence, restarts or is suspected, its watches end here at once, without an answer.
//
// Orders belong to the term in which they were sent. What a deposed leader still sends may reach a worker that has restarted under its id, and that
// hasn't seen the newer fencing token. A hedge is therefore sent only while the conditions of its order hold (execution/sendpermit.h).
//
// A relay that has answered nothing at all since a late order was sent gets no orders for a while. One late answer is
// no reason: the worker may be at fault, and excluding the relay shifts its load to the others until they are late as
// well.
//
// Example:
//     OrderRelay relay(hooks);
//     relay.send({workerCount, dataCentre}, call, done);
//
// Thread safety: none; owned by the control thread, on which callbacks run. Cost: O(core instances) an order.

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

/** Outcome of an order that was sent through another instance. */
enum class RelayOutcome {
    /** The relay reported the worker's answer, or that the worker gave none. */
    Answered,
    /** The relay is stopping and hasn't sent the order. */
    Declined,
    /** The relay didn't reply by the deadline. */
    TimedOut
};

struct RelayResult {
    RelayOutcome outcome = RelayOutcome::TimedOut;
    execution::WorkerAnswer answer;
};

/** Functions that send orders and start timers; each calls back once, on the control thread. */
struct RelayHooks {
    std::function<void(const execution::WorkerCall &call, std::function<void(const execution::WorkerAnswer &)> done)> sendDirect;
    std::function<void(const std::string &instance, const execution::WorkerCall &call, Timestamp deadline, std::function<void(const RelayResult &)> done)>
        sendVia;
    std::function<void(Timestamp at, std::function<void()> action)> runAt;
    std::function<Timestamp()> now;
};

/** Selects the relay: size of the cell, and data centre of the worker. */
struct RelayTarget {
    std::size_t workerCount = 0;
    std::string dataCentre;
};

class OrderRelay
{
public:
    using Done = std::function<void(const execution::WorkerAnswer &)>;

    explicit OrderRelay(RelayHooks relayHooks);

    void send(const RelayTarget &target, const execution::WorkerCall &call, const Done &done);

    /** Records that another core instance is reachable; @p incarnation changes with each of its starts. */
    void markAlive(Timestamp now, const std::string &instance, const std::string &dataCentre, std::uint64_t incarnation = 0);
    /**
     * Ends the watches of an instance that hasn't reported its presence by @p processedUntil, of one instance at a time; must be called
     * often.
     */
    void tick(Timestamp processedUntil);

    /** Stops tracking all watches when this process stops leading: the new leader has the workers polled. */
    void abandonWatches();

private:
    /** One sending of an order, the primary one or the hedge. */
    struct Attempt {
        bool isPending = false;
        /** Result once it isn't pending; NotSent if nothing was sent. */
        execution::AnswerKind result = execution::AnswerKind::NotSent;
    };
    struct PendingOrder {
        execution::WorkerCall call;
        std::string relay;
        Timestamp sentAt;
        Done done;
        /** Through the relay, or directly if there is none. */
        Attempt primary;
        /** Sent directly if the primary attempt is late. */
        Attempt hedge;
        bool isDone = false;
    };
    using OrderPtr = std::shared_ptr<PendingOrder>;

    void endWatchesOf(const std::string &relay);
    /** Handles a late order: excludes its relay if that has answered nothing at all since the order was sent. */
    void suspectRelay(const PendingOrder &order);
    void handleRelayResult(const OrderPtr &pending, const RelayResult &relayed);
    void sendHedge(const OrderPtr &pending);
    void handleHedgeAnswer(const OrderPtr &pending, const execution::WorkerAnswer &answer);
    /** Records the answer of an attempt; completes the order if the answer is conclusive or no other attempt is pending. */
    void completeAttempt(const OrderPtr &pending, Attempt &attempt, const execution::WorkerAnswer &answer);
    /** Result of an order without a conclusive answer: NoAnswer if that of either attempt is. */
    static execution::AnswerKind combinedResult(const PendingOrder &order);

    const RelayHooks hooks;
    RelayPool relays;
    /** When each relay last answered an order, whatever the answer. */
    std::map<std::string, Timestamp> lastAnsweredAt;
    /** Pending watches by relay. */
    std::map<std::string, std::set<OrderPtr>> watches;
    Timestamp nextWatchEnd = absl::InfinitePast();
    /** Hedges that aren't answered yet. */
    std::size_t hedgesInFlight = 0;
};

} // namespace paddlepier::cluster

#endif
