// Reads the list of tests that are known to fail.

#include "testing/knownred.h"

#include <stdexcept>

namespace paddlepier::testing
{

std::vector<KnownRed> readKnownRed(std::istream &lines)
{
    std::vector<KnownRed> found;
    for (std::string line; std::getline(lines, line);) {
        if (line.find_first_not_of(" \t") == std::string::npos) {
            continue;
        }
        const std::size_t end = line.find(": ");
        if (end == 0 || end == std::string::npos || end + 2 == line.size()) {
            throw std::runtime_error("KNOWN-RED.txt: a line is `test: cause`: " + line);
        }
        found.push_back({line.substr(0, end), line});
    }
    if (found.size() > maxKnownRed) {
        throw std::runtime_error("KNOWN-RED.txt: more than three lines");
    }
    return found;
}

} // namespace paddlepier::testing
