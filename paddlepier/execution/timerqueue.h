// What is to be looked at next, by the time at which it is due.
//
// A key is in the queue once at most; setting it again moves it. What isn't due costs nothing.
//
// Example:
//     queue.set(worker, now + pause);
//     while (const std::optional<std::string> due = queue.take(now)) { ... }
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
class DueQueue
{
public:
    void set(const Key &key, Timestamp at)
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

    /** Removes the key that has been due longest. @return nothing if none is due by @p now */
    std::optional<Key> take(Timestamp now)
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
