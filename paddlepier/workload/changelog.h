// Bounded log of recently changed keys, for readers that maintain data derived from a large state.
//
// A reader stores a position and visits the keys recorded since then. The log retains a limited number of keys: visitSince() returns false
// to a reader that has fallen too far behind, which then rebuilds from the complete state. Reading is optional, and a key that changes
// repeatedly is recorded repeatedly.
//
// Example:
//     if (!log.visitSince(position, [&](const std::string &job) { update(job); })) { rebuild(); }
//     position = log.end();
//
// Thread safety: none; owned by the state whose changes it records. Cost: record() is O(1), visitSince() is O(keys since the position).

#ifndef PADDLEPIER_WORKLOAD_CHANGELOG_H
#define PADDLEPIER_WORKLOAD_CHANGELOG_H

#include <cstddef>
#include <cstdint>
#include <deque>

namespace paddlepier::workload
{

template<typename Key>
class ChangeLog
{
public:
    /** Positions increase from 1; 0 precedes every position that a log can hold. */
    using Position = std::uint64_t;

    /** More than the changes of one second; bounds the log to a few hundred kilobytes. */
    static constexpr std::size_t maxKeys = 8192;

    void record(const Key &key)
    {
        this->keys.push_back(key);
        if (this->keys.size() > maxKeys) {
            this->keys.pop_front();
            ++this->begin;
        }
    }

    /** Marks the complete state as changed: every reader has to rebuild from it. */
    void invalidateAll()
    {
        this->begin += this->keys.size() + 1;
        this->keys.clear();
    }

    Position end() const
    {
        return this->begin + this->keys.size();
    }

    /** @return false, without calling @p visit, if the log no longer reaches back to @p position */
    template<typename Visit>
    bool visitSince(Position position, Visit visit) const
    {
        if (position < this->begin) {
            return false;
        }
        for (std::size_t index = position - this->begin; index < this->keys.size(); ++index) {
            visit(this->keys[index]);
        }
        return true;
    }

private:
    std::deque<Key> keys;
    /** Position of the first entry of `keys`. */
    Position begin = 1;
};

} // namespace paddlepier::workload

#endif
