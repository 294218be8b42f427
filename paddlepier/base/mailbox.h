// Bounded queue of work for one thread.
//
// Any thread posts; one thread takes everything that is there in one step. A full mailbox refuses instead of growing,
// so that overload shows at the sender.
//
// Thread safety: post(), close() from any thread; take() from the owner alone.

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

/** Mailbox of closures; take() is O(1) plus the moved items. */
class Mailbox
{
public:
    using Work = std::function<void()>;

    explicit Mailbox(std::size_t maximum)
        : limit(maximum)
    {
    }

    /** @return false if the mailbox is full or closed; @p work is then dropped. */
    bool post(Work work)
    {
        const absl::MutexLock lock(&this->mutex);
        if (this->closed || this->items.size() >= this->limit) {
            return false;
        }
        this->items.push_back(std::move(work));
        return true;
    }

    /** Like post(), beyond the limit: for completions, whose number the sender has bounded already. */
    void postUnbounded(Work work)
    {
        const absl::MutexLock lock(&this->mutex);
        if (!this->closed) {
            this->items.push_back(std::move(work));
        }
    }

    /** Waits up to @p patience for work; empty after a timeout or close(). */
    std::vector<Work> drain(Duration patience)
    {
        std::vector<Work> taken;
        const absl::MutexLock lock(&this->mutex);
        const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) { return this->closed || !this->items.empty(); };
        this->mutex.AwaitWithTimeout(absl::Condition(&ready), patience);
        taken.swap(this->items);
        return taken;
    }

    void close()
    {
        const absl::MutexLock lock(&this->mutex);
        this->closed = true;
    }

private:
    absl::Mutex mutex;
    // Invariant: grows past `limit` only by postAlways().
    std::vector<Work> items ABSL_GUARDED_BY(mutex);
    bool closed ABSL_GUARDED_BY(mutex) = false;
    const std::size_t limit;
};

} // namespace paddlepier

#endif
