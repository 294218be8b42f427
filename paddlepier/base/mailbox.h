// Bounded work queue of one thread.
//
// Any thread posts; the owner drains all queued items at once. A full mailbox refuses items instead of growing, so that the sender
// notices the overload.
//
// Thread safety: post(), postUnbounded() and close() from any thread; drain() from the owning thread only.

#ifndef PADDLEPIER_BASE_MAILBOX_H
#define PADDLEPIER_BASE_MAILBOX_H

#include "paddlepier/base/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

namespace paddlepier
{

/** Mailbox of closures; drain() takes all of them in O(1). */
class Mailbox
{
public:
    using Work = std::function<void()>;

    explicit Mailbox(std::size_t maxItems)
        : limit(maxItems)
    {
    }

    /** @return false if the mailbox is full or closed; @p work is then discarded */
    bool post(Work work)
    {
        const absl::MutexLock lock(&this->mutex);
        if (this->closed || this->items.size() >= this->limit) {
            return false;
        }
        this->items.push_back(std::move(work));
        return true;
    }

    /**
     * Like post(), but ignores the limit; @p work is discarded if the mailbox is closed. For completions, whose number is bounded by the
     * operations that the sender started.
     */
    void postUnbounded(Work work)
    {
        const absl::MutexLock lock(&this->mutex);
        if (!this->closed) {
            this->items.push_back(std::move(work));
        }
    }

    /** Waits for work for at most @p timeout and returns all of it; empty after a timeout. After close() it doesn't wait. */
    std::vector<Work> drain(Duration timeout)
    {
        std::vector<Work> drained;
        const absl::MutexLock lock(&this->mutex);
        const auto isReady = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) { return this->closed || !this->items.empty(); };
        this->mutex.AwaitWithTimeout(absl::Condition(&isReady), timeout);
        drained.swap(this->items);
        return drained;
    }

    /** Discards work that is posted later; work that is already queued can still be drained. */
    void close()
    {
        const absl::MutexLock lock(&this->mutex);
        this->closed = true;
    }

private:
    absl::Mutex mutex;
    // Invariant: exceeds `limit` only through postUnbounded().
    std::vector<Work> items ABSL_GUARDED_BY(mutex);
    bool closed ABSL_GUARDED_BY(mutex) = false;
    const std::size_t limit;
};

} // namespace paddlepier

#endif
