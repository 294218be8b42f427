// Checks the logs of stand-in workers (see testing/worker.h) for violations of the scheduler's guarantees.
//
// Thread safety: free functions without state.

#ifndef PADDLEPIER_TESTING_CHECKER_H
#define PADDLEPIER_TESTING_CHECKER_H

#include "paddlepier/wire/api_generated.h"

#include <cstdint>
#include <string>
#include <vector>

namespace paddlepier::testing
{

/** The capacity that a worker announced, and the path of its log. */
struct WorkerLog {
    std::string worker;
    std::string dataCentre;
    std::string path;
    wire::Resources capacity;
    std::uint32_t slots = 0;
};

/** Descriptions of the violations found; none if every guarantee held. */
struct CheckReport {
    std::vector<std::string> violations;
    std::size_t taskStarts = 0;
    std::size_t requests = 0;
};

/** @param notRunIds ids of requests that were answered `not-run`; none of them may appear in a worker's log */
CheckReport checkLogs(const std::vector<WorkerLog> &logs, const std::vector<std::string> &notRunIds);

} // namespace paddlepier::testing

#endif
