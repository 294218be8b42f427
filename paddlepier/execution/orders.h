// Orders to workers and their answers, as the leader's dispatcher sees them.
//
// The adapter that communicates with workers converts a WorkerCall into a request and the response into a WorkerAnswer. Times
// named `onWorkerClock` are milliseconds of that worker's own steady clock.
//
// Thread safety: plain values.

#ifndef PADDLEPIER_EXECUTION_ORDERS_H
#define PADDLEPIER_EXECUTION_ORDERS_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/sendpermit.h"
#include "paddlepier/wire/workload_generated.h"
#include "paddlepier/workload/incarnation.h"
#include "paddlepier/workload/taskkey.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace paddlepier::execution
{

/** Bits of a fencing token that count the incarnations under one id in one term. A worker that restarts each second for half a day uses fewer. */
constexpr unsigned int incarnationBits = 16;
constexpr std::uint64_t maxFencedIncarnations = (std::uint64_t{1} << incarnationBits) - 1;

/**
 * Fencing token of orders to the incarnation that follows @p earlierIncarnations others under its id in @p term. Once this incarnation has been
 * called it refuses orders that were sent to those before it, just like orders of earlier terms.
 */
constexpr std::uint64_t fencingToken(std::uint64_t term, std::uint64_t earlierIncarnations)
{
    return (term << incarnationBits) + (earlierIncarnations < maxFencedIncarnations ? earlierIncarnations : maxFencedIncarnations);
}

/** Starts a run; idempotent. */
struct StartOrder {
    workload::TaskKey task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    /** Ticket of the queue's advice policy; empty where none is needed. */
    std::string ticket;
};

/** Stops a run, or ensures that it never starts. */
struct StopOrder {
    workload::TaskKey task;
    std::uint32_t run = 0;
};

/** Requests runs and ends, extends the lease, and waits up to `wait` for the next end. */
struct PollOrder {
    /** The worker may discard ends up to this number; 0 while another incarnation may receive the order. */
    std::uint64_t lastSequence = 0;
    Duration wait;
    /** Another instance that relays the order may repeat it for this long, until an answer reports a change. */
    Duration watch = absl::ZeroDuration();
    /**
     * `lastSequence` is sent only over a connection that was established by then, since only that one can't lead to a later incarnation under the
     * same id. Set by the process that sends the order.
     */
    Timestamp acknowledgedOverConnectionsBy = absl::InfinitePast();
};

/** Throttles a run to a share of its speed, to reduce its interference with other runs on the worker. */
struct PaceOrder {
    workload::TaskKey task;
    std::uint32_t run = 0;
    std::uint32_t percent = 100;
};

using Order = std::variant<PollOrder, StartOrder, StopOrder, PaceOrder>;

struct WorkerCall {
    std::uint64_t id = 0;
    /** The incarnation that is addressed. Another one under the same id may not detect that it isn't. */
    workload::Incarnation worker;
    std::string address;
    /** Fencing token: rises with the leader's term and, within a term, with each incarnation of a worker. */
    std::uint64_t fence = 0;
    /** End of the lease for everything on the worker; 0 leaves it unchanged. */
    std::int64_t leaseEndOnWorkerClock = 0;
    Duration timeout;
    Order order;
    /** Checked right before the order is sent; if they don't hold any more, it isn't sent. */
    SendConditions conditions;
};

enum class AnswerKind {
    Accepted,
    /** The worker has seen a higher fencing token. */
    Fenced,
    /** That run, or a later one of its task, was stopped or has ended on the worker. */
    OldRun,
    /** The lease in the order has already expired on the worker's clock. */
    LeaseOver,
    /** The worker's free capacity is too small for the run. */
    NoRoom,
    /** The worker rejected the ticket. */
    BadTicket,
    /** The worker did nothing and reported itself as unhealthy. */
    Unhealthy,
    /** The worker can't parse the order. */
    Invalid,
    /** Another incarnation of the worker answered: the one that was addressed has ended. */
    OtherLife,
    /** No complete answer arrived: the order may have been executed, or may be executed later. */
    NoAnswer,
    /** The order can't have reached the worker. */
    NotSent
};
const char *nameOf(AnswerKind kind);

/** How far a call to a worker got. Tells a connection that couldn't be used from a worker that doesn't execute orders. */
enum class CallEnd {
    /** No complete answer arrived from the relay, so that nothing is known. */
    Unknown,
    Answered,
    NotConnected,
    /** Withheld, or no connection became free in time. */
    NotSent,
    /** The worker closed a new connection without an answer, as one does that has no connection left. */
    ConnectionRefused,
    ConnectionClosed,
    TimedOut
};
const char *nameOf(CallEnd end);

/** One run in progress, as its worker lists it. */
struct ListedRun {
    workload::TaskKey task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;
    /** For a serving task, its tail latency in milliseconds; for others, the processors in use, in thousandths. */
    std::uint32_t load = 0;
};

/** One end of a run, as its worker lists it. Sequence numbers rise within one incarnation. */
struct ListedEnd {
    std::uint64_t sequence = 0;
    workload::TaskKey task;
    std::uint32_t run = 0;
    work::RunEndKind kind = work::RunEndKind::Stopped;
    std::string checkpoint;
};

struct WorkerAnswer {
    AnswerKind kind = AnswerKind::NoAnswer;
    CallEnd end = CallEnd::Unknown;
    /** Birth time of the incarnation that answered, as it reports it; 0 if it doesn't. */
    std::uint64_t born = 0;
    bool hasClock = false;
    std::int64_t clockMillis = 0;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

/**
 * True if @p answer, from a worker that was known to run nothing, reports no change: the addressed incarnation still responds, and no run has started
 * or ended since.
 */
bool reportsNoChange(const WorkerCall &call, const PollOrder &order, const WorkerAnswer &answer);

/** A request to the policy service that decides which workers may run a step. */
struct AdviceRequest {
    std::uint64_t id = 0;
    workload::StepKey step;
    std::vector<workload::Incarnation> workers;
    /** Time that the service takes for its decision by the queue's policy. */
    Duration decisionTime;
};

struct AdviceAnswer {
    bool isAnswered = false;
    std::vector<work::AdviceTicketT> tickets;
};

} // namespace paddlepier::execution

#endif
