// What the policy service has said about which workers may run which step.
//
// The service is slow and takes one call at a time from each caller, so that answers are kept: that a worker may run a
// step never changes during a life of the worker, but its ticket ends after a while and has to be asked for again.
//
// Example:
//     const auto question = book.ask(now, step, workers, policy);
//     book.answer(now, question.id, answer);
//     if (const Ticket *ticket = book.validTicket(now, step, worker)) { ... }
//
// Thread safety: none; owned by the control thread. Every call is O(1) a worker, but for answer(): O(log n).

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

/** Questions over this cost are long: several short ones fit into it. */
constexpr Duration longQuestionCost = absl::Milliseconds(100);

struct Ticket {
    std::string text;
    Timestamp validUntil;
};

/** How a step stands with the policy service. */
struct StepAdvice {
    /** There may be a worker with a ticket that is still good. */
    bool mayHaveTicket = false;
    /** An answer is awaited. */
    bool isAsking = false;
    /** False while an answer is awaited, and for a short while after a question that got none. */
    bool mayAsk = true;
};

enum class Standing { Unasked, Forbidden, Permitted, Expired };

/** Time that the policy service takes for a question about so many workers. */
Duration costOf(const work::AdvicePolicyT &policy, std::size_t workers);

class AdviceBook
{
public:
    /** Number of @p worker in this book; it stays the same. */
    std::uint32_t numberOf(const workload::Life &worker);
    /** Calls @p visit(number, standing) for each worker that the service has told about; O(1) each. */
    template<typename Visit>
    void visitStandings(Timestamp now, const workload::StepKey &step, Visit visit) const
    {
        const auto found = this->steps.find(step);
        if (found != this->steps.end()) {
            for (const auto &[number, word] : found->second.words) {
                visit(number, standingOf(now, word));
            }
        }
    }
    /** @p holds of the number of a worker with a ticket that is still good; O(workers that the service has told about). */
    template<typename Predicate>
    bool anyPermitted(Timestamp now, const workload::StepKey &step, Predicate holds) const
    {
        const auto found = this->steps.find(step);
        return found != this->steps.end() && std::any_of(found->second.words.begin(), found->second.words.end(), [now, &holds](const auto &entry) {
                   return standingOf(now, entry.second) == Standing::Permitted && holds(entry.first);
               });
    }
    StepAdvice about(Timestamp now, const workload::StepKey &step) const;
    /** Null unless the worker may run the step and the ticket is still good. */
    const Ticket *validTicket(Timestamp now, const workload::StepKey &step, const workload::Life &worker) const;

    execution::AdviceQuestion
    ask(Timestamp now, const workload::StepKey &step, const std::string &queue, std::vector<workload::Life> workers, const work::AdvicePolicyT &policy);
    void answer(Timestamp now, std::uint64_t id, const execution::AdviceAnswer &answer);
    /** Questions without an answer so far. */
    std::size_t pendingQuestions() const;
    /** A worker has refused the ticket. */
    void rejectTicket(const workload::StepKey &step, const workload::Life &worker);
    /** Drops what is known for jobs that @p isOver says to have ended; O(steps). */
    template<typename Predicate>
    void forgetJobs(Predicate isOver)
    {
        absl::erase_if(this->steps, [&isOver](const auto &entry) { return isOver(entry.first.job); });
    }

    /** Learned share of a service's workers that may run a step of @p queue. */
    double permittedShare(const std::string &queue) const;

private:
    struct Pending {
        workload::StepKey step;
        std::string queue;
        std::vector<workload::Life> workers;
        Timestamp earliestAnswer;
        Duration valid;
    };
    /** What was said of one worker; without a ticket if it is forbidden. */
    struct Word {
        bool isPermitted = false;
        Ticket ticket;
    };
    struct Entry {
        absl::flat_hash_map<std::uint32_t, Word> words;
        /** No ticket is good any longer than this. */
        Timestamp ticketsUntil = absl::InfinitePast();
        std::size_t asking = 0;
        Timestamp notBefore = absl::InfinitePast();
    };
    struct Share {
        double permitted = 1.0;
        double asked = 2.0;
    };

    static Standing standingOf(Timestamp now, const Word &word);

    absl::flat_hash_map<workload::Life, std::uint32_t, workload::LifeHash> numbers;
    absl::flat_hash_map<workload::StepKey, Entry, workload::StepKeyHash> steps;
    std::map<std::uint64_t, Pending> pending;
    std::map<std::string, Share> shares;
    std::uint64_t nextId = 1;
};

} // namespace paddlepier::planning

#endif
