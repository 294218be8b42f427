// Parses the list of tests that are known to fail.

#include "testing/knownred.h"

#include <stdexcept>

namespace paddlepier::testing
{

std::vector<KnownRed> readKnownRed(std::istream &lines)
{
    std::vector<KnownRed> entries;
    for (std::string line; std::getline(lines, line);) {
        if (line.find_first_not_of(" \t") == std::string::npos) {
            continue;
        }
        const std::size_t end = line.find(": ");
        if (end == 0 || end == std::string::npos || end + 2 == line.size()) {
            throw std::runtime_error("KNOWN-RED.txt: expected `test: cause`, got: " + line);
        }
        entries.push_back({line.substr(0, end), line});
    }
    if (entries.size() > maxKnownRed) {
        throw std::runtime_error("KNOWN-RED.txt: more than the three entries allowed");
    }
    return entries;
}

} // namespace paddlepier::testing
