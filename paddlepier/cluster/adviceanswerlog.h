// Recent answers of the policy service that an instance has relayed, for a leader that hasn't received them.
//
// The leader keeps in memory which workers may run which step. A new leader gets this from the instances: each attaches to
// its presence calls the answers that the leader of the current term hasn't received, newest first.
//
// Guarantees: an answer is repeated until a leader of the current term has acknowledged it, or it is older than 60 s. The
// number and size of the kept answers, and the size of a batch, are bounded. An answer to a leader that sends no start times
// of the workers is not kept, since it could be taken for one about a later incarnation.
//
// Example:
//     log.record(now, call, answer);
//     AdviceAnswerLog::Batch batch = log.pendingBatch(now);
//     // send batch.answers; when the leader of `term` has replied:
//     log.acknowledge(term, batch.numbers);
//
// Thread safety: none; owned by the control thread. Cost: record() and acknowledge() amortized O(size of the argument),
// pendingBatch() O(kept answers).

#ifndef PADDLEPIER_CLUSTER_ADVICEANSWERLOG_H
#define PADDLEPIER_CLUSTER_ADVICEANSWERLOG_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/orders.h"
#include "paddlepier/wire/workload_generated.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace paddlepier::cluster
{

class AdviceAnswerLog
{
public:
    /** Bound on the serialized answers of a presence call. */
    static constexpr std::size_t maxBatchBytes = 8192;

    struct Batch {
        std::vector<std::uint64_t> numbers;
        std::vector<std::unique_ptr<work::RelayedAdviceT>> answers;
    };

    /** Records the answer to @p call, which its leader receives directly. */
    void record(Timestamp now, const work::AdviceCallT &call, const execution::AdviceAnswer &answer);
    /** Answers that the leader of the newest known term hasn't received; empty if that leader's build doesn't report its term. */
    Batch pendingBatch(Timestamp now, std::size_t maxBytes = maxBatchBytes);
    /** The leader of @p term has received the answers with these numbers. @p term is 0 if its build doesn't report it. */
    void acknowledge(std::uint64_t term, const std::vector<std::uint64_t> &numbers);

private:
    struct Entry {
        Timestamp answeredAt;
        /** Newest term whose leader has received the answer. */
        std::uint64_t receivedTerm = 0;
        std::size_t bytes = 0;
        work::RelayedAdviceT answer;
    };

    void removeOldest();

    /** Numbered consecutively from `firstNumber`. */
    std::deque<Entry> entries;
    std::uint64_t firstNumber = 0;
    std::size_t keptBytes = 0;
    std::uint64_t leaderTerm = 0;
};

} // namespace paddlepier::cluster

#endif
