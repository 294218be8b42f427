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
enum class CarriedOutcome {
    /** It has a worker's answer, or its silence. */
    Answered,
    /** It is stopping, and has done nothing. */
    Declined,
    /** Nothing came by the deadline. */
    Silent
};

struct Carried {
    CarriedOutcome outcome = CarriedOutcome::Silent;
    execution::WorkerAnswer answer;
};

/** How orders leave this process; each calls back once, on the control thread. */
struct CarryingWays {
    std::function<void(const execution::WorkerCall &call, std::function<void(const execution::WorkerAnswer &)> done)> direct;
    std::function<void(const std::string &instance, const execution::WorkerCall &call, Timestamp deadline, std::function<void(const Carried &)> done)> through;
    std::function<void(Timestamp at, std::function<void()> action)> later;
    std::function<Timestamp()> now;
};

/** Where an order goes. */
struct CarryingPlace {
    std::size_t workerCount = 0;
    std::string dataCentre;
};

class OrderCarrying
{
public:
    using Done = std::function<void(const execution::WorkerAnswer &)>;

    explicit OrderCarrying(CarryingWays carryingWays);

    void carry(const CarryingPlace &place, const execution::WorkerCall &call, const Done &done);

    /** Another core instance has shown that it is there; @p incarnation is another one after each of its starts. */
    void noteAlive(Timestamp now, const std::string &instance, const std::string &dataCentre, std::uint64_t incarnation = 0);
    /** Ends the watches of an instance that hasn't shown itself by @p seenUntil, one at a time; call it often. */
    void tick(Timestamp seenUntil);

    /** This process leads no more: whoever leads now has the workers polled. */
    void forgetWatches();

private:
    /** One of the two ways that an order may take. */
    struct Way {
        bool isOpen = false;
        /** Once it is closed: what came of it; NotSent if nothing was done. */
        execution::AnswerKind result = execution::AnswerKind::NotSent;
    };
    struct OnItsWay {
        execution::WorkerCall call;
        std::string carrier;
        Timestamp sentAt;
        Done done;
        /** Through the carrier, or directly where there is none. */
        Way first;
        /** Directly, if the first one was late. */
        Way second;
        bool isOver = false;
    };
    using Pending = std::shared_ptr<OnItsWay>;

    void endWatchesOf(const std::string &carrier);
    /** An order through a carrier is late: the carrier itself is at fault if it has answered nothing at all since then. */
    void doubtCarrier(const OnItsWay &order);
    void takeCarried(const Pending &pending, const Carried &carried);
    void sendAgain(const Pending &pending);
    void takeSecond(const Pending &pending, const execution::WorkerAnswer &answer);
    /** A way has closed with @p answer: ends the order if that settles it, or if no other way is open. */
    void close(const Pending &pending, Way &way, const execution::WorkerAnswer &answer);
    /** Of the order as a whole: uncertain if one of its ways is. */
    static execution::AnswerKind combined(const OnItsWay &order);

    const CarryingWays ways;
    Carriers carriers;
    /** When each carrier last answered an order, whatever it said. */
    std::map<std::string, Timestamp> answeredAt;
    /** Watches under way, by their carriers. */
    std::map<std::string, std::set<Pending>> watches;
    Timestamp nextWatchEnd = absl::InfinitePast();
    /** Orders sent both ways and not over. */
    std::size_t overtaking = 0;
};

} // namespace paddlepier::cluster

#endif
