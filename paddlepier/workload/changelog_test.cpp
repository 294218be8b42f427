// Readers of a change log see every key recorded since their position, or learn that they have to rebuild.

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
    /** Keys visited by a reader at @p position; empty if it has to rebuild. */
    std::vector<int> keysSince(ChangeLog<int>::Position position)
    {
        std::vector<int> visited;
        this->reachesBack = this->log.visitSince(position, [&visited](int key) { visited.push_back(key); });
        return visited;
    }

    ChangeLog<int> log;
    bool reachesBack = false;
};

} // namespace

TEST_CASE_METHOD(ChangeLogFixture, "reader_withCurrentPosition_visitsNewKeys")
{
    CHECK(this->keysSince(0).empty());
    CHECK_FALSE(this->reachesBack);
    const auto position = this->log.end();
    this->log.record(7);
    this->log.record(7);
    this->log.record(8);
    CHECK(this->keysSince(position) == std::vector<int>{7, 7, 8});
    CHECK(this->reachesBack);
    CHECK(this->keysSince(this->log.end()).empty());
    CHECK(this->reachesBack);
}

TEST_CASE_METHOD(ChangeLogFixture, "reader_behindTheLog_hasToRebuild")
{
    const auto position = this->log.end();
    for (std::size_t number = 0; number <= ChangeLog<int>::maxKeys; ++number) {
        this->log.record(static_cast<int>(number));
    }
    CHECK(this->keysSince(position).empty());
    CHECK_FALSE(this->reachesBack);
    CHECK(this->keysSince(position + 1).size() == ChangeLog<int>::maxKeys);
}

TEST_CASE_METHOD(ChangeLogFixture, "invalidateAll_withReadersAtAnyPosition_makesThemRebuild")
{
    this->log.record(1);
    const auto position = this->log.end();
    this->log.invalidateAll();
    this->keysSince(position);
    CHECK_FALSE(this->reachesBack);
    this->keysSince(this->log.end());
    CHECK(this->reachesBack);
}

} // namespace paddlepier::workload
