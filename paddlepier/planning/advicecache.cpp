// What the policy service has said.

#include "paddlepier/planning/advicecache.h"

#include <algorithm>

namespace paddlepier::planning
{

namespace
{

/** A ticket isn't used in the last part of its life: commit and order take some tens of milliseconds. */
constexpr Duration ticketMargin = absl::Milliseconds(250);

/** Weight of the past in a queue's share of permitted workers, for each worker newly asked about. */
constexpr double shareMemory = 0.98;

/** Pause after a question without an answer, so that it isn't asked again in every plan. */
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

AdviceStatus AdviceCache::statusOf(Timestamp now, const WorkerAdvice &word)
{
    if (!word.isPermitted) {
        return AdviceStatus::Forbidden;
    }
    return word.ticket.validUntil > now ? AdviceStatus::Permitted : AdviceStatus::Expired;
}

StepAdvice AdviceCache::adviceFor(Timestamp now, const workload::StepKey &step) const
{
    const auto found = this->steps.find(step);
    if (found == this->steps.end()) {
        return {};
    }
    const Entry &entry = found->second;
    return {entry.lastTicketExpiry > now, entry.pendingQuestions > 0, entry.pendingQuestions == 0 && entry.notBefore <= now};
}

const Ticket *AdviceCache::validTicket(Timestamp now, const workload::StepKey &step, const workload::Incarnation &worker) const
{
    const auto found = this->steps.find(step);
    const auto number = this->numbers.find(worker);
    if (found == this->steps.end() || number == this->numbers.end()) {
        return nullptr;
    }
    const auto word = found->second.byWorker.find(number->second);
    return word != found->second.byWorker.end() && statusOf(now, word->second) == AdviceStatus::Permitted ? &word->second.ticket : nullptr;
}

execution::AdviceRequest AdviceCache::request(
    Timestamp now, const workload::StepKey &step, const std::string &queue, std::vector<workload::Incarnation> workers, const work::AdvicePolicyT &policy)
{
    execution::AdviceRequest question;
    question.id = this->nextId++;
    question.step = step;
    question.decisionTime = costOf(policy, workers.size());
    question.workers = workers;
    this->pending[question.id] = {step, queue, std::move(workers), now + question.decisionTime, absl::Milliseconds(policy.validMillis)};
    ++this->steps[step].pendingQuestions;
    return question;
}

void AdviceCache::recordAnswer(Timestamp now, std::uint64_t id, const execution::AdviceAnswer &answer)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
        return;
    }
    const Pending asked = std::move(found->second);
    this->pending.erase(found);
    const auto step = this->steps.find(asked.step);
    if (step == this->steps.end()) {
        return;
    }
    Entry &advice = step->second;
    advice.pendingQuestions -= std::min<std::size_t>(advice.pendingQuestions, 1);
    if (!answer.isAnswered) {
        advice.notBefore = now + unansweredPause;
        return;
    }
    // The answer may have been long on its way, above all where this process is slow; its tickets weren't given before the service had
    // taken its time.
    const Timestamp validUntil = std::min(now, asked.earliestAnswer) + asked.valid - ticketMargin;
    Share &share = this->shares[asked.queue];
    for (const workload::Incarnation &worker : asked.workers) {
        const auto good =
            std::find_if(answer.tickets.begin(), answer.tickets.end(), [&](const work::AdviceTicketT &entry) { return entry.worker == worker.id; });
        share.permitted = share.permitted * shareMemory + (good != answer.tickets.end() ? 1 : 0);
        share.asked = share.asked * shareMemory + 1;
        if (good != answer.tickets.end()) {
            advice.byWorker[this->numberOf(worker)] = {true, {good->ticket, validUntil}};
            advice.lastTicketExpiry = std::max(advice.lastTicketExpiry, validUntil);
        } else {
            // That a worker may run a step never changes.
            advice.byWorker.try_emplace(this->numberOf(worker));
        }
    }
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
    const auto word = found->second.byWorker.find(number->second);
    if (word != found->second.byWorker.end() && word->second.isPermitted) {
        word->second.ticket.validUntil = absl::InfinitePast();
    }
}

double AdviceCache::permittedShare(const std::string &queue) const
{
    const auto found = this->shares.find(queue);
    return found == this->shares.end() ? 0.5 : std::clamp(found->second.permitted / found->second.asked, 0.05, 1.0);
}

} // namespace paddlepier::planning
