// Cache of the policy service's answers: which workers may run which step.
//
// The service is slow and processes one call at a time from each caller, so that answers are cached. Whether a worker may run a
// step never changes during the worker's incarnation, but the ticket expires after a while and must be requested again.
//
// Example:
//     const auto request = cache.request(now, step, queue, workers, policy);
//     cache.recordAnswer(now, request.id, answer);
//     if (const Ticket *ticket = cache.validTicket(now, step, worker)) { ... }
//
// Thread safety: none; owned by the control thread. Every call is O(1) for each worker, except recordAnswer(): O(log n).

#ifndef PADDLEPIER_PLANNING_ADVICECACHE_H
#define PADDLEPIER_PLANNING_ADVICECACHE_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/orders.h"
#include "paddlepier/wire/workload_generated.h"
#include "paddlepier/workload/taskkey.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace paddlepier::planning
{

/** Requests that take the policy service longer than this are long; several short ones fit into that time. */
constexpr Duration longRequestThreshold = absl::Milliseconds(100);

struct Ticket {
    std::string text;
    Timestamp validUntil;
};

/** State of the advice for one step. */
struct StepAdvice {
    /** A worker may have a valid ticket. */
    bool mayHaveTicket = false;
    /** A request is pending. */
    bool isPending = false;
    /** False while a request is pending, and for a short pause after a request without an answer. */
    bool mayRequest = true;
};

enum class AdviceStatus { NotRequested, Forbidden, Permitted, Expired };

/** Time that the policy service takes for a request about @p workers workers. */
Duration costOf(const work::AdvicePolicyT &policy, std::size_t workers);

class AdviceCache
{
public:
    /** Number of @p worker in this cache; it never changes. */
    std::uint32_t numberOf(const workload::Incarnation &worker);
    /** Calls @p visit(number, status) for each worker with advice on the step; O(1) each. */
    template<typename Visit>
    void visitStatuses(Timestamp now, const workload::StepKey &step, Visit visit) const
    {
        const auto found = this->steps.find(step);
        if (found != this->steps.end()) {
            for (const auto &[number, workerAdvice] : found->second.byWorker) {
                visit(number, statusOf(now, workerAdvice));
            }
        }
    }
    /** True if @p holds returns true for the number of a worker with a valid ticket; O(workers with advice on the step). */
    template<typename Predicate>
    bool anyPermitted(Timestamp now, const workload::StepKey &step, Predicate holds) const
    {
        const auto found = this->steps.find(step);
        return found != this->steps.end() && std::any_of(found->second.byWorker.begin(), found->second.byWorker.end(), [now, &holds](const auto &entry) {
                   return statusOf(now, entry.second) == AdviceStatus::Permitted && holds(entry.first);
               });
    }
    StepAdvice adviceFor(Timestamp now, const workload::StepKey &step) const;
    /** Null unless the worker may run the step and its ticket is valid. */
    const Ticket *validTicket(Timestamp now, const workload::StepKey &step, const workload::Incarnation &worker) const;

    execution::AdviceRequest request(
        Timestamp now, const workload::StepKey &step, const std::string &queue, std::vector<workload::Incarnation> workers, const work::AdvicePolicyT &policy);
    void recordAnswer(Timestamp now, std::uint64_t id, const execution::AdviceAnswer &answer);
    /**
     * Adds a permission that an earlier leader has received, without a ticket.
     * @return false if the permission was known
     */
    bool restore(const workload::StepKey &step, const workload::Incarnation &worker, bool isPermitted);
    /** Number of requests without an answer so far. */
    std::size_t pendingQuestions() const;
    /** Marks the ticket as expired, because the worker rejected it. */
    void rejectTicket(const workload::StepKey &step, const workload::Incarnation &worker);
    /** Removes the advice for jobs for which @p hasEnded returns true; O(steps). */
    template<typename Predicate>
    void removeEndedJobs(Predicate hasEnded)
    {
        absl::erase_if(this->steps, [&hasEnded](const auto &entry) { return hasEnded(entry.first.job); });
    }

    /** Learned share of a service's workers that may run a step of @p queue. */
    double permittedShare(const std::string &queue) const;

private:
    struct Pending {
        workload::StepKey step;
        std::string queue;
        std::vector<workload::Incarnation> workers;
        Timestamp earliestAnswer;
        Duration valid;
    };
    /** Advice on one worker; without a ticket if the worker is forbidden. */
    struct WorkerAdvice {
        bool isPermitted = false;
        Ticket ticket;
    };
    struct Entry {
        absl::flat_hash_map<std::uint32_t, WorkerAdvice> byWorker;
        /** Latest expiry of all tickets of the step. */
        Timestamp lastTicketExpiry = absl::InfinitePast();
        std::size_t pendingRequests = 0;
        Timestamp notBefore = absl::InfinitePast();
    };
    /** Exponentially decayed numbers of permitted workers, and of workers named by answered requests. */
    struct Share {
        double permitted = 1.0;
        double requested = 2.0;
    };

    static AdviceStatus statusOf(Timestamp now, const WorkerAdvice &workerAdvice);

    absl::flat_hash_map<workload::Incarnation, std::uint32_t, workload::IncarnationHash> numbers;
    absl::flat_hash_map<workload::StepKey, Entry, workload::StepKeyHash> steps;
    std::map<std::uint64_t, Pending> pending;
    std::map<std::string, Share> shares;
    std::uint64_t nextId = 1;
};

} // namespace paddlepier::planning

#endif
