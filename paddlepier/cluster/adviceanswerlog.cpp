// Recent answers of the policy service that an instance has relayed.

#include "paddlepier/cluster/adviceanswerlog.h"

#include <algorithm>

namespace paddlepier::cluster
{

namespace
{

/** Most steps with an advice end or are placed within this time. */
constexpr Duration retentionTime = absl::Seconds(60);

/** Some 40 instances relay about 120 answers a second, each of half a kilobyte or more. */
constexpr std::size_t maxEntries = 500;
constexpr std::size_t maxKeptBytes = 256U << 10U;

/** Upper bounds on the serialized size of an answer without its texts, and of each worker without its id. */
constexpr std::size_t bytesPerAnswer = 96;
constexpr std::size_t bytesPerWorker = 24;

} // namespace

void AdviceAnswerLog::record(Timestamp now, const work::AdviceCallT &call, const execution::AdviceAnswer &answer)
{
    this->leaderTerm = std::max(this->leaderTerm, call.term);
    if (!answer.isAnswered || call.term == 0 || call.born.size() != call.workers.size()) {
        return;
    }
    Entry entry;
    entry.answeredAt = now;
    entry.receivedTerm = call.term;
    entry.bytes = bytesPerAnswer + call.step.size();
    entry.answer.step = call.step;
    entry.answer.workers = call.workers;
    entry.answer.born = call.born;
    for (const std::string &worker : call.workers) {
        entry.bytes += bytesPerWorker + worker.size();
        entry.answer.isPermitted.push_back(
            std::any_of(answer.tickets.begin(), answer.tickets.end(), [&worker](const work::AdviceTicketT &ticket) { return ticket.worker == worker; }));
    }
    if (entry.bytes > maxBatchBytes) {
        return;
    }
    this->keptBytes += entry.bytes;
    this->entries.push_back(std::move(entry));
    while (this->entries.size() > maxEntries || this->keptBytes > maxKeptBytes) {
        this->removeOldest();
    }
}

AdviceAnswerLog::Batch AdviceAnswerLog::pendingBatch(Timestamp now, std::size_t maxBytes)
{
    while (!this->entries.empty() && now - this->entries.front().answeredAt > retentionTime) {
        this->removeOldest();
    }
    Batch batch;
    std::size_t bytes = 0;
    for (std::size_t index = this->entries.size(); index-- > 0;) {
        const Entry &entry = this->entries[index];
        if (entry.receivedTerm >= this->leaderTerm) {
            continue;
        }
        if (bytes + entry.bytes > maxBytes) {
            break;
        }
        bytes += entry.bytes;
        batch.numbers.push_back(this->firstNumber + index);
        batch.answers.push_back(std::make_unique<work::RelayedAdviceT>(entry.answer));
    }
    return batch;
}

void AdviceAnswerLog::acknowledge(std::uint64_t term, const std::vector<std::uint64_t> &numbers)
{
    this->leaderTerm = term == 0 ? 0 : std::max(this->leaderTerm, term);
    for (const std::uint64_t number : numbers) {
        if (number >= this->firstNumber && number - this->firstNumber < this->entries.size()) {
            Entry &entry = this->entries[number - this->firstNumber];
            entry.receivedTerm = std::max(entry.receivedTerm, term);
        }
    }
}

void AdviceAnswerLog::removeOldest()
{
    this->keptBytes -= this->entries.front().bytes;
    this->entries.pop_front();
    ++this->firstNumber;
}

} // namespace paddlepier::cluster
