// The list of tests that are known to fail is short and says why.

#include "testing/knownred.h"

#include <catch2/catch.hpp>

#include <sstream>

namespace paddlepier::testing
{

TEST_CASE("knownRed_linesWithTestAndCause_areRead")
{
    std::istringstream lines("a_b_c: the cause (where)\n\nd_e_f: another\n");
    const std::vector<KnownRed> found = readKnownRed(lines);
    REQUIRE(found.size() == 2);
    CHECK(found[0].test == "a_b_c");
    CHECK(found[1].line == "d_e_f: another");
}

TEST_CASE("knownRed_lineWithoutCause_isRefused")
{
    std::istringstream lines("a_b_c\n");
    CHECK_THROWS(readKnownRed(lines));
}

TEST_CASE("knownRed_moreThanThreeLines_isRefused")
{
    std::istringstream lines("a: x\nb: x\nc: x\nd: x\n");
    CHECK_THROWS(readKnownRed(lines));
}

} // namespace paddlepier::testing
