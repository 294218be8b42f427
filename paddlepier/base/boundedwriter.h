// Writes text to a descriptor from a thread of its own, so that a reader that stalls costs lines and nothing else.
//
// post() never waits: what doesn't fit into the buffer is dropped and counted. Lines are written whole and in order.
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
    /** @param mostBytes text that may wait to be written */
    BoundedWriter(int descriptor, std::size_t mostBytes);
    ~BoundedWriter();

    BoundedWriter(const BoundedWriter &) = delete;
    BoundedWriter &operator=(const BoundedWriter &) = delete;

    /** @return false if @p text was dropped */
    bool post(std::string_view text);

    /** Texts that were dropped since the last call of this function. */
    std::int64_t drainDroppedCount();

    /** Writes what waits, for @p patience at most; later texts are dropped. */
    void stop(Duration patience);

private:
    struct State;
    static void run(const std::shared_ptr<State> &state);

    // Shared with the thread, which is left behind if its descriptor never takes the rest.
    std::shared_ptr<State> state;
};

} // namespace paddlepier

#endif
