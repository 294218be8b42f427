// Append messages that a leader has sent to one follower and that aren't answered yet.
//
// A follower answers in the order in which it receives, and each answer carries the send time of its message. An answer
// therefore also settles every message sent before its own: if one of those is still unanswered, it or its answer was lost
// with a connection. Counting such messages as in flight would fill the pipeline for good.
//
// Example:
//     window.recordSent(sentAtMicros);
//     if (window.size() < pipelineDepth) { ... }
//     window.recordAnswer(reply.sentAtMicros);
//
// Thread safety: none; owned by a replica. Cost: recordSent() is O(1), recordAnswer() O(1) amortised.

#ifndef PADDLEPIER_CONSENSUS_APPENDWINDOW_H
#define PADDLEPIER_CONSENSUS_APPENDWINDOW_H

#include <cstddef>
#include <cstdint>
#include <deque>

namespace paddlepier::consensus
{

class AppendWindow
{
public:
    /** @param sentAtMicros  send time by the leader's clock, in microseconds; not before that of the previous message */
    void recordSent(std::int64_t sentAtMicros);
    /** Settles one message sent at @p sentAtMicros and all messages sent before; messages that were cleared are ignored. */
    void recordAnswer(std::int64_t sentAtMicros);
    /** Forgets all messages. */
    void clear();

    /** Number of messages without an answer. */
    std::size_t size() const;

private:
    struct Batch {
        std::int64_t sentAtMicros = 0;
        /** Messages sent at that time; greater than 0. */
        std::size_t count = 0;
    };

    // Invariant: send times increase.
    std::deque<Batch> batches;
    // Invariant: the sum of all counts.
    std::size_t total = 0;
};

} // namespace paddlepier::consensus

#endif
