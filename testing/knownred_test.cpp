// The list of known failures must stay short, and each entry must state its cause; otherwise it would hide failing tests.

#include "testing/knownred.h"

#include <catch2/catch.hpp>

#include <sstream>

namespace paddlepier::testing
{

TEST_CASE("knownRed_linesWithTestAndCause_areParsed")
{
    std::istringstream lines("a_b_c: the cause (where)\n\nd_e_f: another\n");
    const std::vector<KnownRed> entries = readKnownRed(lines);
    REQUIRE(entries.size() == 2);
    CHECK(entries[0].test == "a_b_c");
    CHECK(entries[1].line == "d_e_f: another");
}

TEST_CASE("knownRed_lineWithoutCause_isRejected")
{
    std::istringstream lines("a_b_c\n");
    CHECK_THROWS(readKnownRed(lines));
}

TEST_CASE("knownRed_moreThanThreeLines_isRejected")
{
    std::istringstream lines("a: x\nb: x\nc: x\nd: x\n");
    CHECK_THROWS(readKnownRed(lines));
}

} // namespace paddlepier::testing
