// Routing of quick requests by one entry instance.
//
// A state machine without I/O: it is told of requests, shares and ends of attempts, and says what to send and which
// requests are finished. Among the workers whose share has room it takes the better of two random ones. A request that
// can't start waits in a bounded queue ordered by deadline; one that can't make its deadline is given up at once, with a
// time to come back.
//
// Guarantees:
//  - never more attempts on a worker than this entry's share, nor any after the share's lease; an attempt counts until its
//    whole answer came, or until the longest time that a worker may take, also when the caller has been answered long ago;
//  - `NotRun` is said only if no attempt was sent, or every one that was sent was refused by its worker;
//  - a request that isn't idempotent is never sent again after it may have reached a worker;
//  - every submitted request is finished exactly once.
//
// Example:
//     router.submit(now, {.id = 7, .deadline = now + absl::Seconds(2), .isIdempotent = true, .mayHop = true});
//     for (const Attempt &attempt : router.takeAttempts()) { send(attempt); }
//     for (const Finished &finished : router.takeFinished()) { answer(finished); }
//
// Thread safety: none; owned by the traffic thread. submit() and ended() are O(log queue) plus O(workers) if the two
// random workers are full.

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
    /** False for a request that another data centre's entry has passed on. */
    bool mayHop = true;
};

/** One sending of a request to a worker or, as a hop, to another data centre's entry. */
struct Attempt {
    std::uint64_t id = 0;
    std::uint64_t request = 0;
    std::string target;
    std::string address;
    /** Told to the receiver: after this its answer is of no use. */
    Duration deadline;
    /** How long to wait for the receiver's answer, so that its slot is counted for as long as it may be in use. */
    Duration timeout;
    bool isHop = false;
    std::int64_t validUntilWorkerMicros = 0;
    std::uint32_t connections = 0;
};

enum class AttemptEnd {
    /** A whole answer that says the work was done. */
    Answered,
    /** A whole answer that says the work failed. */
    Failed,
    /** Nothing was sent. */
    NotSent,
    /** The receiver says that it did nothing. */
    Refused,
    /** Sent, but no whole answer came. */
    Broken
};

/** Why a request was given up. */
enum class GiveUpReason { None, NoShare, QueueFull, DeadlineTooShort, DeadlinePassed, WorkerFailed };
const char *nameOf(GiveUpReason reason);

struct Finished {
    std::uint64_t request = 0;
    wire::RequestOutcome outcome = wire::RequestOutcome::NotRun;
    /** Attempt whose answer is the request's answer; 0 if there is none. */
    std::uint64_t attempt = 0;
    GiveUpReason reason = GiveUpReason::None;
    /** When to come back, if it was not run. */
    Duration retryAfter;
};

struct RouterLimits {
    std::size_t queuedRequests = 512;
    /** Attempts for one request. */
    std::uint32_t attempts = 3;
    /** Retries that a request earns on average. */
    double retryBudget = 0.1;
    std::size_t hopsInFlight = 64;
    std::uint32_t failuresToEject = 3;
    /** The longest that a worker may take for a request, whatever its caller's deadline. */
    Duration maxRequestTime = absl::Seconds(10);
    /** Lease of a share, and the clocks' largest rate difference. */
    Duration shareLease = absl::Milliseconds(1500);
    std::uint32_t driftPerMille = 10;
    /** Largest part of the workers that may be ejected at a time. */
    double maxEjectedShare = 0.34;
};

/** Safety checks that only a test switches off, to show that it notices. */
struct RouterGuards {
    bool respectShare = true;
    bool holdSlotOfBroken = true;
    bool repeatOnlyIdempotent = true;
};

class QuickRouter
{
public:
    QuickRouter(RouterLimits routerLimits, std::uint64_t seed, RouterGuards routerGuards = {});

    void submit(Timestamp now, const QuickRequest &request);
    void recordAttemptEnd(Timestamp now, std::uint64_t attempt, AttemptEnd end);
    void tick(Timestamp now);

    /** Changes the bounds that the configuration sets. */
    void setLimits(std::size_t queuedRequests, double retryBudget);

    /** Takes over the answer to a request for shares that was sent at @p sentAt. */
    void setShares(Timestamp now, Timestamp sentAt, const wire::SharesReplyT &reply);

    /** Entries of other data centres to which a request may hop: name and address. */
    void setHopTargets(const std::vector<std::pair<std::string, std::string>> &targets);

    std::vector<Attempt> drainAttempts();
    std::vector<Finished> drainFinished();

    /** What this entry holds, for the next request for shares: of every worker, or where more is in use than the share. */
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
        std::uint32_t failures = 0;
        Timestamp ejectedUntil = absl::InfinitePast();
    };

    struct PendingRequest {
        QuickRequest request;
        std::uint32_t attempts = 0;
        /** An attempt reached, or may have reached, a worker. */
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
        /** Nobody waits for it any more; only its slot counts. */
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
    void attemptFailed(Timestamp now, std::uint64_t request, AttemptEnd end);
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
    // Invariant: the keys of `backends`, so that a random one is found in O(1).
    std::vector<std::string> names;
    std::vector<HopTarget> hopTargets;
    absl::flat_hash_map<std::uint64_t, PendingRequest> pendingRequests;
    absl::flat_hash_map<std::uint64_t, InFlightAttempt> inFlightAttempts;
    // Invariant: holds exactly the pending requests that have no flight.
    std::set<std::pair<Timestamp, std::uint64_t>> queue;
    // Slots of attempts that ended without a whole answer, by the time when their worker must have stopped.
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
