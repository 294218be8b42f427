// Which messages count as unanswered after answers in order, lost answers and late ones.

#include "paddlepier/consensus/appendwindow.h"

#include <catch2/catch.hpp>

namespace paddlepier::consensus
{

namespace
{

class AppendWindowFixture
{
public:
    AppendWindowFixture()
    {
        for (const std::int64_t sentAt : {10, 20, 20, 30}) {
            this->window.recordSent(sentAt);
        }
    }

    AppendWindow window;
};

} // namespace

TEST_CASE_METHOD(AppendWindowFixture, "answer_inOrder_settlesOneMessage")
{
    this->window.recordAnswer(10);
    CHECK(this->window.size() == 3);
    this->window.recordAnswer(20);
    CHECK(this->window.size() == 2);
    this->window.recordAnswer(20);
    CHECK(this->window.size() == 1);
    this->window.recordAnswer(30);
    CHECK(this->window.size() == 0);
}

TEST_CASE_METHOD(AppendWindowFixture, "answer_afterLostOnes_settlesTheseToo")
{
    this->window.recordAnswer(30);
    CHECK(this->window.size() == 0);
}

TEST_CASE_METHOD(AppendWindowFixture, "answer_ofOneOfABatch_keepsTheOthersOfTheBatch")
{
    this->window.recordAnswer(20);
    CHECK(this->window.size() == 2);
}

TEST_CASE_METHOD(AppendWindowFixture, "answer_afterClear_isIgnored")
{
    this->window.clear();
    this->window.recordSent(40);
    this->window.recordAnswer(20);
    CHECK(this->window.size() == 1);
}

} // namespace paddlepier::consensus
