// Cache of the policy service's answers.

#include "paddlepier/planning/advicecache.h"

#include <algorithm>

namespace paddlepier::planning
{

namespace
{

/** Tickets are treated as expired this much earlier, since the commit and the order to the worker take some tens of milliseconds. */
constexpr Duration ticketMargin = absl::Milliseconds(250);

/** Decay factor of a queue's share of permitted workers, applied for each worker in an answer. */
constexpr double shareDecay = 0.98;

/** Pause after a request without an answer, so that it isn't repeated in every plan. */
constexpr Duration unansweredPause = absl::Milliseconds(60);

} // namespace

Duration costOf(const work::AdvicePolicyT &policy, std::size_t workers)
{
    return absl::Microseconds(static_cast<std::int64_t>(1000 * (policy.decisionMillis + policy.perWorkerMillis * static_cast<double>(workers))));
}

std::uint32_t AdviceCache::numberOf(const workload::Incarnation &worker)
{
    return this->numbers.try_emplace(worker, static_cast<std::uint32_t>(this->numbers.size())).first->second;
}

AdviceStatus AdviceCache::statusOf(Timestamp now, const WorkerAdvice &workerAdvice)
{
    if (!workerAdvice.isPermitted) {
        return AdviceStatus::Forbidden;
    }
    return workerAdvice.ticket.validUntil > now ? AdviceStatus::Permitted : AdviceStatus::Expired;
}

StepAdvice AdviceCache::adviceFor(Timestamp now, const workload::StepKey &step) const
{
    const auto found = this->steps.find(step);
    if (found == this->steps.end()) {
        return {};
    }
    const Entry &entry = found->second;
    return {entry.lastTicketExpiry > now, entry.pendingRequests > 0, entry.pendingRequests == 0 && entry.notBefore <= now};
}

const Ticket *AdviceCache::validTicket(Timestamp now, const workload::StepKey &step, const workload::Incarnation &worker) const
{
    const auto found = this->steps.find(step);
    const auto number = this->numbers.find(worker);
    if (found == this->steps.end() || number == this->numbers.end()) {
        return nullptr;
    }
    const auto workerAdvice = found->second.byWorker.find(number->second);
    return workerAdvice != found->second.byWorker.end() && statusOf(now, workerAdvice->second) == AdviceStatus::Permitted ? &workerAdvice->second.ticket
                                                                                                                          : nullptr;
}

execution::AdviceRequest AdviceCache::request(
    Timestamp now, const workload::StepKey &step, const std::string &queue, std::vector<workload::Incarnation> workers, const work::AdvicePolicyT &policy)
{
    execution::AdviceRequest adviceRequest;
    adviceRequest.id = this->nextId++;
    adviceRequest.step = step;
    adviceRequest.decisionTime = costOf(policy, workers.size());
    adviceRequest.workers = workers;
    this->pending[adviceRequest.id] = {step, queue, std::move(workers), now + adviceRequest.decisionTime, absl::Milliseconds(policy.validMillis)};
    ++this->steps[step].pendingRequests;
    return adviceRequest;
}

void AdviceCache::recordAnswer(Timestamp now, std::uint64_t id, const execution::AdviceAnswer &answer)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
        return;
    }
    const Pending request = std::move(found->second);
    this->pending.erase(found);
    const auto step = this->steps.find(request.step);
    if (step == this->steps.end()) {
        return;
    }
    Entry &advice = step->second;
    advice.pendingRequests -= std::min<std::size_t>(advice.pendingRequests, 1);
    if (!answer.isAnswered) {
        advice.notBefore = now + unansweredPause;
        return;
    }
    // The answer may have been delayed on its way, especially if this process is slow. The tickets were issued no earlier than the
    // service's processing time after the request.
    const Timestamp validUntil = std::min(now, request.earliestAnswer) + request.valid - ticketMargin;
    Share &share = this->shares[request.queue];
    for (const workload::Incarnation &worker : request.workers) {
        const auto ticket =
            std::find_if(answer.tickets.begin(), answer.tickets.end(), [&](const work::AdviceTicketT &entry) { return entry.worker == worker.id; });
        share.permitted = share.permitted * shareDecay + (ticket != answer.tickets.end() ? 1 : 0);
        share.requested = share.requested * shareDecay + 1;
        if (ticket != answer.tickets.end()) {
            advice.byWorker[this->numberOf(worker)] = {true, {ticket->ticket, validUntil}};
            advice.lastTicketExpiry = std::max(advice.lastTicketExpiry, validUntil);
        } else {
            // Permission never changes, so that a known permission isn't overwritten.
            advice.byWorker.try_emplace(this->numberOf(worker));
        }
    }
}

bool AdviceCache::restore(const workload::StepKey &step, const workload::Incarnation &worker, bool isPermitted)
{
    return this->steps[step].byWorker.try_emplace(this->numberOf(worker), WorkerAdvice{isPermitted, {"", absl::InfinitePast()}}).second;
}

std::size_t AdviceCache::pendingQuestions() const
{
    return this->pending.size();
}

void AdviceCache::rejectTicket(const workload::StepKey &step, const workload::Incarnation &worker)
{
    const auto found = this->steps.find(step);
    const auto number = this->numbers.find(worker);
    if (found == this->steps.end() || number == this->numbers.end()) {
        return;
    }
    const auto workerAdvice = found->second.byWorker.find(number->second);
    if (workerAdvice != found->second.byWorker.end() && workerAdvice->second.isPermitted) {
        workerAdvice->second.ticket.validUntil = absl::InfinitePast();
    }
}

double AdviceCache::permittedShare(const std::string &queue) const
{
    const auto found = this->shares.find(queue);
    return found == this->shares.end() ? 0.5 : std::clamp(found->second.permitted / found->second.requested, 0.05, 1.0);
}

} // namespace paddlepier::planning
