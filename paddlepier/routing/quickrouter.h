// Routing of quick requests by one entry instance.
//
// A state machine without I/O: its inputs are requests, shares and ends of attempts; its outputs are attempts to send and
// finished requests. It compares the load of two random workers and chooses the less loaded one (power of two choices)
// among those with a free slot in this instance's share. A request that can't start waits in a bounded queue ordered by
// deadline. One that can't meet its deadline is finished at once with a time after which the caller may retry.
//
// Guarantees:
//  - A worker never gets more attempts than this instance's share, and none after the share's lease has ended. An attempt
//    occupies its slot until its complete answer arrives, or until the longest time that a worker may take, even if the
//    caller was answered earlier.
//  - `NotRun` is reported only if no attempt was sent, or every attempt that was sent was refused by its worker.
//  - A request that isn't idempotent is never sent again after it may have reached a worker.
//  - Every submitted request is finished exactly once.
//
// Example:
//     router.submit(now, {.id = 7, .deadline = now + absl::Seconds(2), .isIdempotent = true, .mayHop = true});
//     for (const Attempt &attempt : router.drainAttempts()) { send(attempt); }
//     for (const Finished &finished : router.drainFinished()) { answer(finished); }
//
// Thread safety: none; owned by the traffic thread. submit() and recordAttemptEnd() are O(log queue), plus O(workers) if
// the two random workers have no free slot.

#ifndef PADDLEPIER_ROUTING_QUICKROUTER_H
#define PADDLEPIER_ROUTING_QUICKROUTER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/wire/api_generated.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace paddlepier::routing
{

struct QuickRequest {
    std::uint64_t id = 0;
    Timestamp deadline;
    bool isIdempotent = false;
    /** False for a request that an entry instance of another data centre has forwarded. */
    bool mayHop = true;
};

/** One transmission of a request to a worker or, as a hop, to an entry instance of another data centre. */
struct Attempt {
    std::uint64_t id = 0;
    std::uint64_t request = 0;
    std::string target;
    std::string address;
    /** Sent to the receiver: an answer that takes longer is ignored. */
    Duration deadline;
    /** How long to wait for the receiver's answer. For a worker this covers the whole time in which its slot may be in use. */
    Duration timeout;
    bool isHop = false;
    std::int64_t validUntilWorkerMicros = 0;
    std::uint32_t connections = 0;
};

enum class AttemptEnd {
    /** A complete answer reports success. */
    Answered,
    /** A complete answer reports failure. */
    Failed,
    /** Nothing was sent. */
    NotSent,
    /** The receiver reports that it didn't run the request. */
    Refused,
    /** Sent, but no complete answer arrived. */
    Broken
};

/** Why a request ended without an answer. */
enum class GiveUpReason { None, NoShare, QueueFull, DeadlineTooShort, DeadlinePassed, WorkerFailed };
const char *nameOf(GiveUpReason reason);

struct Finished {
    std::uint64_t request = 0;
    wire::RequestOutcome outcome = wire::RequestOutcome::NotRun;
    /** The attempt whose answer is the request's answer; 0 without one. */
    std::uint64_t attempt = 0;
    GiveUpReason reason = GiveUpReason::None;
    /** After which time the caller may retry, if the request was not run. */
    Duration retryAfter;
};

struct RouterLimits {
    std::size_t queuedRequests = 512;
    /** Maximum number of attempts for one request. */
    std::uint32_t attempts = 3;
    /** Retry tokens that each submitted request adds to the retry budget. */
    double retryBudget = 0.1;
    std::size_t hopsInFlight = 64;
    std::uint32_t failuresToEject = 3;
    /** The longest time that a worker may take for a request, independent of the caller's deadline. */
    Duration maxRequestTime = absl::Seconds(10);
    /** Lease of a share. */
    Duration shareLease = absl::Milliseconds(1500);
    /** Largest rate difference between two clocks. */
    std::uint32_t driftPerMille = 10;
    /** Largest share of the workers that may be ejected at a time. */
    double maxEjectedShare = 0.34;
};

/** Safety checks. Only tests disable them, to show that the tests detect the resulting violations. */
struct RouterGuards {
    bool respectShare = true;
    bool holdSlotOfBrokenAttempt = true;
    bool retryOnlyIdempotent = true;
};

class QuickRouter
{
public:
    QuickRouter(RouterLimits routerLimits, std::uint64_t seed, RouterGuards routerGuards = {});

    void submit(Timestamp now, const QuickRequest &request);
    void recordAttemptEnd(Timestamp now, std::uint64_t attempt, AttemptEnd end);
    void tick(Timestamp now);

    /** Changes the limits that the configuration sets. */
    void setLimits(std::size_t queuedRequests, double retryBudget);

    /** Applies the reply to a request for shares that was sent at @p sentAt. */
    void setShares(Timestamp now, Timestamp sentAt, const wire::SharesReplyT &reply);

    /** Sets the entry instances of other data centres to which a request may hop: name and address. */
    void setHopTargets(const std::vector<std::pair<std::string, std::string>> &targets);

    std::vector<Attempt> drainAttempts();
    std::vector<Finished> drainFinished();

    /** Slots that this instance holds, for the next request for shares: at every worker, or only where more are in use than the share. */
    std::vector<wire::ShareUseT> uses(bool onlyAboveShare) const;
    /** Requests in flight or queued. */
    std::uint32_t demand() const;
    std::size_t queued() const;
    std::size_t inFlight() const;

private:
    struct Backend {
        std::string address;
        std::uint32_t cap = 0;
        std::uint32_t inUse = 0;
        std::uint32_t connections = 0;
        Timestamp leaseEnd;
        std::int64_t validUntilWorkerMicros = 0;
        /** When the request for the share that gave `validUntilWorkerMicros` was sent. */
        Timestamp grantedAt;
        /** Consecutive failures. */
        std::uint32_t failures = 0;
        Timestamp ejectedUntil = absl::InfinitePast();
    };

    struct PendingRequest {
        QuickRequest request;
        std::uint32_t attempts = 0;
        /** True if an attempt reached, or may have reached, a worker. */
        bool mayHaveRun = false;
        bool hasHopped = false;
        std::string lastTarget;
    };

    struct InFlightAttempt {
        std::uint64_t request = 0;
        std::string target;
        bool isHop = false;
        Timestamp started;
        Timestamp deadline;
        /** The request no longer waits for this attempt; it only occupies its slot. */
        bool isAbandoned = false;
    };

    struct HopTarget {
        std::string name;
        std::string address;
        Timestamp avoidUntil = absl::InfinitePast();
    };

    void dispatch(Timestamp now, std::uint64_t id);
    void dispatchQueue(Timestamp now);
    void abandonExpired(Timestamp now);
    void retryOrGiveUp(Timestamp now, std::uint64_t request, AttemptEnd end);
    bool sendToWorker(Timestamp now, PendingRequest &pending);
    bool sendHop(Timestamp now, PendingRequest &pending);
    void send(Timestamp now, PendingRequest &pending, Attempt attempt);
    void enqueueOrGiveUp(Timestamp now, PendingRequest &pending);
    void finish(std::uint64_t id, wire::RequestOutcome outcome, std::uint64_t attempt, GiveUpReason reason);
    void giveUp(Timestamp now, std::uint64_t id, GiveUpReason reason);
    bool mayRetry(const PendingRequest &pending, AttemptEnd end, Timestamp now);
    void recordResult(Timestamp now, Backend &backend, AttemptEnd end);
    void releaseSlot(Timestamp now, const InFlightAttempt &flight, AttemptEnd end);

    bool hasFreeSlot(Timestamp now, const Backend &backend) const;
    std::string chooseBackend(Timestamp now, const std::string &avoid);
    std::size_t ejectedCount(Timestamp now) const;
    Duration expectedWait(Timestamp now) const;
    Duration retryAfter(Timestamp now);

    RouterLimits limits;
    const RouterGuards guards;
    std::mt19937_64 random;
    absl::flat_hash_map<std::string, Backend> backends;
    // Invariant: holds exactly the keys of `backends`, so that a random one is chosen in O(1).
    std::vector<std::string> names;
    std::vector<HopTarget> hopTargets;
    absl::flat_hash_map<std::uint64_t, PendingRequest> pendingRequests;
    absl::flat_hash_map<std::uint64_t, InFlightAttempt> inFlightAttempts;
    // Invariant: holds exactly the pending requests without an attempt in flight.
    std::set<std::pair<Timestamp, std::uint64_t>> queue;
    // Slots of attempts that ended without a complete answer, ordered by the time at which their worker must have stopped.
    std::set<std::tuple<Timestamp, std::uint64_t, std::string>> heldSlots;
    std::size_t hopsInFlight = 0;
    std::uint64_t nextAttempt = 1;
    double retryTokens = 1;
    double meanServiceSeconds = 0.01;
    std::vector<Attempt> attempts;
    std::vector<Finished> finished;
};

} // namespace paddlepier::routing

#endif
