// Stand-in for callers: sends quick requests with bounded concurrency and records the outcome of each.
//
// Thread safety: none; one thread.

#ifndef PADDLEPIER_TESTING_CALLER_H
#define PADDLEPIER_TESTING_CALLER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/http/httpclient.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace paddlepier::testing
{

struct CallerOptions {
    /** `address:port` of entry instances, used round-robin. */
    std::vector<std::string> servers;
    /** Path and query; `{n}` is replaced by the request's number. */
    std::string target = "/v1/quick/reading?n={n}";
    std::string method = "GET";
    http::Headers headers;
    std::string body;
    std::size_t requests = 100;
    std::size_t concurrency = 8;
    Duration timeout = absl::Seconds(10);
    /** Whether the worker's answer must contain the target without the quick prefix. */
    bool checkAnswer = true;
};

struct CallerResult {
    /** Counts by outcome header; `no-answer` if the entry did not respond. */
    std::map<std::string, std::size_t> outcomes;
    std::vector<Duration> times;
    /** Answers that belong to another request. */
    std::size_t wrongAnswers = 0;
    /** Answers `not-run` with status 503 that lack a Retry-After header. */
    std::size_t withoutRetryAfter = 0;
    /** Ids of the requests that were answered `not-run`. */
    std::vector<std::string> notRunIds;
    Duration elapsed;

    Duration quantile(double q) const;
    std::size_t count(const std::string &outcome) const;
};

CallerResult callAll(const CallerOptions &options);

} // namespace paddlepier::testing

#endif
