// What readers learn from a log of changes.

#include "paddlepier/workload/changelog.h"

#include <catch2/catch.hpp>

#include <vector>

namespace paddlepier::workload
{

namespace
{

class ChangeLogFixture
{
public:
    /** What a reader at @p position is told; empty if it has to read anew. */
    std::vector<int> since(ChangeLog<int>::Position position)
    {
        std::vector<int> seen;
        this->reachesBack = this->log.visitSince(position, [&seen](int key) { seen.push_back(key); });
        return seen;
    }

    ChangeLog<int> log;
    bool reachesBack = false;
};

} // namespace

TEST_CASE_METHOD(ChangeLogFixture, "reader_thatKeepsUp_isToldWhatIsNew")
{
    CHECK(this->since(0).empty());
    CHECK_FALSE(this->reachesBack);
    const auto position = this->log.end();
    this->log.record(7);
    this->log.record(7);
    this->log.record(8);
    CHECK(this->since(position) == std::vector<int>{7, 7, 8});
    CHECK(this->reachesBack);
    CHECK(this->since(this->log.end()).empty());
    CHECK(this->reachesBack);
}

TEST_CASE_METHOD(ChangeLogFixture, "reader_thatFellBehind_hasToReadAnew")
{
    const auto position = this->log.end();
    for (std::size_t number = 0; number <= ChangeLog<int>::maxKeys; ++number) {
        this->log.record(static_cast<int>(number));
    }
    CHECK(this->since(position).empty());
    CHECK_FALSE(this->reachesBack);
    CHECK(this->since(position + 1).size() == ChangeLog<int>::maxKeys);
}

TEST_CASE_METHOD(ChangeLogFixture, "changeOfEverything_sendsEveryReaderToTheState")
{
    this->log.record(1);
    const auto position = this->log.end();
    this->log.invalidateAll();
    this->since(position);
    CHECK_FALSE(this->reachesBack);
    this->since(this->log.end());
    CHECK(this->reachesBack);
}

} // namespace paddlepier::workload
