// Stand-in of callers: sends quick requests at a bounded concurrency and notes how each one ended.
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
    /** `address:port` of entry instances, taken in turn. */
    std::vector<std::string> servers;
    /** Path and query; `{n}` becomes the request's number. */
    std::string target = "/v1/quick/reading?n={n}";
    std::string method = "GET";
    http::Headers headers;
    std::string body;
    std::size_t requests = 100;
    std::size_t concurrency = 8;
    Duration timeout = absl::Seconds(10);
    /** The worker's answer must have the target below the quick prefix in it. */
    bool checkAnswer = true;
};

struct CallerResult {
    /** By outcome header; `no-answer` if the entry itself gave none. */
    std::map<std::string, std::size_t> outcomes;
    std::vector<Duration> times;
    /** Answers that were not the one to the request. */
    std::size_t wrongAnswers = 0;
    /** Answers `not-run` without a time to come back. */
    std::size_t withoutRetryAfter = 0;
    /** Request ids of answers that say `not-run`. */
    std::vector<std::string> notRunIds;
    Duration elapsed;

    Duration quantile(double q) const;
    std::size_t count(const std::string &outcome) const;
};

CallerResult callAll(const CallerOptions &options);

} // namespace paddlepier::testing

#endif
