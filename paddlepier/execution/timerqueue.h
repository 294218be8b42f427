// A queue of keys ordered by the time at which each becomes due.
//
// A key is in the queue at most once; scheduling it again moves it. Keys that aren't due cost nothing.
//
// Example:
//     queue.schedule(worker, now + pause);
//     while (const std::optional<std::string> due = queue.popExpired(now)) { ... }
//
// Thread safety: none; owned by the control thread. Every operation is O(log n).

#ifndef PADDLEPIER_EXECUTION_TIMERQUEUE_H
#define PADDLEPIER_EXECUTION_TIMERQUEUE_H

#include "paddlepier/base/clock.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace paddlepier::execution
{

template<typename Key>
class TimerQueue
{
public:
    void schedule(const Key &key, Timestamp at)
    {
        const auto [entry, isNew] = this->byKey.try_emplace(key, at);
        if (!isNew && entry->second == at) {
            return;
        }
        if (!isNew) {
            this->byTime.erase({entry->second, key});
            entry->second = at;
        }
        this->byTime.emplace(at, key);
    }

    /** Like schedule(), but doesn't move a key to a later time. */
    void advance(const Key &key, Timestamp at)
    {
        const auto entry = this->byKey.find(key);
        if (entry == this->byKey.end() || at < entry->second) {
            this->schedule(key, at);
        }
    }

    /** Removes and returns the key that has been due longest. @return nothing if no key is due at @p now */
    std::optional<Key> popExpired(Timestamp now)
    {
        if (this->byTime.empty() || this->byTime.begin()->first > now) {
            return std::nullopt;
        }
        Key key = std::move(this->byTime.extract(this->byTime.begin()).value().second);
        this->byKey.erase(key);
        return key;
    }

private:
    // Invariant: both hold the same keys with the same times.
    std::map<Key, Timestamp> byKey;
    std::set<std::pair<Timestamp, Key>> byTime;
};

} // namespace paddlepier::execution

#endif
