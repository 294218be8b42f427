// Orders to workers and their answers, as the leader's dispatcher sees them.
//
// The adapter that speaks to workers turns a WorkerCall into a request and what comes back into a WorkerAnswer. Times
// named `onWorkerClock` are milliseconds of that worker's own steady clock.
//
// Thread safety: plain values.

#ifndef PADDLEPIER_EXECUTION_ORDERS_H
#define PADDLEPIER_EXECUTION_ORDERS_H

#include "paddlepier/base/clock.h"
#include "paddlepier/wire/workload_generated.h"
#include "paddlepier/workload/incarnation.h"
#include "paddlepier/workload/taskkey.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace paddlepier::execution
{

/** Part of a fencing token that counts the lives under one id in one term; a worker that starts again each second for half a day counts less. */
constexpr unsigned int fencedLifeBits = 16;
constexpr std::uint64_t mostFencedLives = (std::uint64_t{1} << fencedLifeBits) - 1;

/**
 * Fencing token of orders to the life that follows @p earlierLives others under its id in @p term: what was sent to these is refused by
 * it once it has been called, like what was sent in earlier terms.
 */
constexpr std::uint64_t fencingToken(std::uint64_t term, std::uint64_t earlierLives)
{
    return (term << fencedLifeBits) + (earlierLives < mostFencedLives ? earlierLives : mostFencedLives);
}

/** Starts a run; sending it again changes nothing. */
struct StartOrder {
    workload::TaskKey task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    /** Permission of the queue's policy; empty where none is needed. */
    std::string ticket;
};

/** Stops a run, or makes sure that it never starts. */
struct StopOrder {
    workload::TaskKey task;
    std::uint32_t run = 0;
};

/** Asks for runs and ends, extends the lease, and waits up to `wait` for the next end. */
struct PollOrder {
    /** The worker may forget ends up to this number; 0 while another life may be the one that hears it. */
    std::uint64_t lastSequence = 0;
    Duration wait;
    /** Another instance that carries the order out may repeat it for so long, until an answer tells something new. */
    Duration watch = absl::ZeroDuration();
};

/** Lets a run work, and disturb its neighbours, at a share of its speed. */
struct PaceOrder {
    workload::TaskKey task;
    std::uint32_t run = 0;
    std::uint32_t percent = 100;
};

using Order = std::variant<PollOrder, StartOrder, StopOrder, PaceOrder>;

struct WorkerCall {
    std::uint64_t id = 0;
    /** The life that is meant; another one under the same id can't tell that it isn't. */
    workload::Life worker;
    std::string address;
    /** Fencing token: rises with the leader's term and, within it, with each life of a worker. */
    std::uint64_t fence = 0;
    /** End of the lease for everything on the worker; 0 leaves it as it is. */
    std::int64_t leaseEndOnWorkerClock = 0;
    Duration timeout;
    Order order;
};

enum class AnswerKind {
    Accepted,
    /** A higher fencing token has been seen there. */
    Fenced,
    /** That run, or a later one, was stopped or has ended there. */
    OldRun,
    /** The lease would have ended already. */
    LeaseOver,
    NoRoom,
    BadTicket,
    /** Did nothing, and says that it isn't well. */
    Unhealthy,
    /** The order can't be read there. */
    Invalid,
    /** Another life of the worker answered: the one meant is over. */
    OtherLife,
    /** Nothing whole came back: the order may have been carried out, or may be later. */
    NoAnswer,
    /** The order can't have reached the worker. */
    NotSent
};
const char *nameOf(AnswerKind kind);

/** One run under way, as its worker lists it. */
struct ListedRun {
    workload::TaskKey task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;
    /** Of a serving task: its tail latency in milliseconds; of others: processors in use, in thousandths. */
    std::uint32_t load = 0;
};

/** One end, as its worker lists it; numbers rise within one life. */
struct ListedEnd {
    std::uint64_t sequence = 0;
    workload::TaskKey task;
    std::uint32_t run = 0;
    work::RunEndKind kind = work::RunEndKind::Stopped;
    std::string checkpoint;
};

struct WorkerAnswer {
    AnswerKind kind = AnswerKind::NoAnswer;
    /** Birth of the life that answered, as it says; 0 if it doesn't. */
    std::uint64_t born = 0;
    bool hasClock = false;
    std::int64_t clockMillis = 0;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

/** What @p answer tells of a worker that ran nothing was known: the life that was meant is there, and nothing runs or has ended since. */
bool reportsNoChange(const WorkerCall &call, const PollOrder &order, const WorkerAnswer &answer);

/** A question to the service that knows which workers may run a step. */
struct AdviceQuestion {
    std::uint64_t id = 0;
    workload::StepKey step;
    std::vector<workload::Life> workers;
    /** How long the answer takes by the queue's policy. */
    Duration cost;
};

struct AdviceAnswer {
    bool isAnswered = false;
    std::vector<work::AdviceTicketT> good;
};

} // namespace paddlepier::execution

#endif
