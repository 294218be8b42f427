// Which keys have changed lately, for readers that keep something derived from a large state.
//
// A reader remembers a position and asks for the keys noted since. The log is bounded: a reader that has fallen too far behind is told
// so and reads the whole state anew. Nobody has to read it; a key may be noted several times.
//
// Example:
//     if (!log.visitSince(position, [&](const std::string &job) { update(job); })) { rebuild(); }
//     position = log.end();
//
// Thread safety: none; owned by the state whose changes it notes. Cost: note() is O(1), visitSince() O(keys since then).

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
    /** Positions rise from 1; 0 is before anything that a log holds. */
    using Position = std::uint64_t;

    /** Above what a second brings, and some hundred kilobytes. */
    static constexpr std::size_t maxKeys = 8192;

    void record(const Key &key)
    {
        this->keys.push_back(key);
        if (this->keys.size() > maxKeys) {
            this->keys.pop_front();
            ++this->begin;
        }
    }

    /** Anything may have changed: every reader reads the whole state anew. */
    void invalidateAll()
    {
        this->begin += this->keys.size() + 1;
        this->keys.clear();
    }

    Position end() const
    {
        return this->begin + this->keys.size();
    }

    /** @return false, without a visit, if the log doesn't reach back to @p position */
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
    /** Position of the first of `keys`. */
    Position begin = 1;
};

} // namespace paddlepier::workload

#endif
