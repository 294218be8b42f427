// Writes text to a file descriptor from a dedicated thread, so that a stalled reader costs lines but never blocks the caller.
//
// post() never blocks: text that does not fit into the buffer is dropped and counted. Lines are written completely and in order.
//
// Example:
//     BoundedWriter writer(STDOUT_FILENO, 1U << 20U);
//     writer.post("one line\n");
//     writer.stop(absl::Milliseconds(200));
//
// Thread safety: every function may be called from any thread. Cost of post(): one copy under a lock.

#ifndef PADDLEPIER_BASE_BOUNDEDWRITER_H
#define PADDLEPIER_BASE_BOUNDEDWRITER_H

#include "paddlepier/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace paddlepier
{

class BoundedWriter
{
public:
    /** @param maxBytes  size of the buffer for text that is not written yet */
    BoundedWriter(int descriptor, std::size_t maxBytes);
    ~BoundedWriter();

    BoundedWriter(const BoundedWriter &) = delete;
    BoundedWriter &operator=(const BoundedWriter &) = delete;

    /** @return false if @p text was dropped */
    bool post(std::string_view text);

    /** Returns the number of texts dropped since the previous call, and resets it. */
    std::int64_t drainDroppedCount();

    /** Writes the buffered text, waiting for at most @p timeout; later texts are dropped. */
    void stop(Duration timeout);

private:
    struct State;
    static void run(const std::shared_ptr<State> &state);

    // Shared with the detached thread, which outlives this object if its descriptor blocks.
    std::shared_ptr<State> state;
};

} // namespace paddlepier

#endif
