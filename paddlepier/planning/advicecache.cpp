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

std::uint32_t AdviceBook::numberOf(const workload::Life &worker)
{
    return this->numbers.try_emplace(worker, static_cast<std::uint32_t>(this->numbers.size())).first->second;
}

Standing AdviceBook::standingOf(Timestamp now, const Word &word)
{
    if (!word.isPermitted) {
        return Standing::Forbidden;
    }
    return word.ticket.validUntil > now ? Standing::Permitted : Standing::Expired;
}

StepAdvice AdviceBook::about(Timestamp now, const workload::StepKey &step) const
{
    const auto found = this->steps.find(step);
    if (found == this->steps.end()) {
        return {};
    }
    const Entry &entry = found->second;
    return {entry.ticketsUntil > now, entry.asking > 0, entry.asking == 0 && entry.notBefore <= now};
}

const Ticket *AdviceBook::validTicket(Timestamp now, const workload::StepKey &step, const workload::Life &worker) const
{
    const auto found = this->steps.find(step);
    const auto number = this->numbers.find(worker);
    if (found == this->steps.end() || number == this->numbers.end()) {
        return nullptr;
    }
    const auto word = found->second.words.find(number->second);
    return word != found->second.words.end() && standingOf(now, word->second) == Standing::Permitted ? &word->second.ticket : nullptr;
}

execution::AdviceQuestion
AdviceBook::ask(Timestamp now, const workload::StepKey &step, const std::string &queue, std::vector<workload::Life> workers, const work::AdvicePolicyT &policy)
{
    execution::AdviceQuestion question;
    question.id = this->nextId++;
    question.step = step;
    question.cost = costOf(policy, workers.size());
    question.workers = workers;
    this->pending[question.id] = {step, queue, std::move(workers), now + question.cost, absl::Milliseconds(policy.validMillis)};
    ++this->steps[step].asking;
    return question;
}

void AdviceBook::answer(Timestamp now, std::uint64_t id, const execution::AdviceAnswer &answer)
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
    advice.asking -= std::min<std::size_t>(advice.asking, 1);
    if (!answer.isAnswered) {
        advice.notBefore = now + unansweredPause;
        return;
    }
    // The answer may have been long on its way, above all where this process is slow; its tickets weren't given before the service had
    // taken its time.
    const Timestamp validUntil = std::min(now, asked.earliestAnswer) + asked.valid - ticketMargin;
    Share &share = this->shares[asked.queue];
    for (const workload::Life &worker : asked.workers) {
        const auto good = std::find_if(answer.good.begin(), answer.good.end(), [&](const work::AdviceTicketT &entry) { return entry.worker == worker.id; });
        share.permitted = share.permitted * shareMemory + (good != answer.good.end() ? 1 : 0);
        share.asked = share.asked * shareMemory + 1;
        if (good != answer.good.end()) {
            advice.words[this->numberOf(worker)] = {true, {good->ticket, validUntil}};
            advice.ticketsUntil = std::max(advice.ticketsUntil, validUntil);
        } else {
            // That a worker may run a step never changes.
            advice.words.try_emplace(this->numberOf(worker));
        }
    }
}

std::size_t AdviceBook::pendingQuestions() const
{
    return this->pending.size();
}

void AdviceBook::rejectTicket(const workload::StepKey &step, const workload::Life &worker)
{
    const auto found = this->steps.find(step);
    const auto number = this->numbers.find(worker);
    if (found == this->steps.end() || number == this->numbers.end()) {
        return;
    }
    const auto word = found->second.words.find(number->second);
    if (word != found->second.words.end() && word->second.isPermitted) {
        word->second.ticket.validUntil = absl::InfinitePast();
    }
}

double AdviceBook::permittedShare(const std::string &queue) const
{
    const auto found = this->shares.find(queue);
    return found == this->shares.end() ? 0.5 : std::clamp(found->second.permitted / found->second.asked, 0.05, 1.0);
}

} // namespace paddlepier::planning
