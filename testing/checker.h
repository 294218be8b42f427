// Checks of promises from the logs of stand-in workers (see testing/worker.h).
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

/** What a worker said it has, and where its log is. */
struct WorkerLog {
    std::string worker;
    std::string dataCentre;
    std::string path;
    wire::Resources capacity;
    std::uint32_t slots = 0;
};

/** Broken promises in words; empty if all held. */
struct CheckReport {
    std::vector<std::string> violations;
    std::size_t taskStarts = 0;
    std::size_t requests = 0;
};

/** @param notRunIds ids of requests that were answered `not-run`: none may stand in a log */
CheckReport checkLogs(const std::vector<WorkerLog> &logs, const std::vector<std::string> &notRunIds);

} // namespace paddlepier::testing

#endif
