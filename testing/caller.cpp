// Stand-in for callers.

#include "testing/caller.h"

#include "paddlepier/instance/quickheaders.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <algorithm>

namespace paddlepier::testing
{

namespace
{

constexpr std::string_view prefix = "/v1/quick";

void recordResult(const CallerOptions &options, const std::string &target, const http::TransferResult &result, CallerResult &total)
{
    std::string outcome(result.response.header(instance::outcomeHeader));
    if (!result.isComplete) {
        outcome = "no-answer";
    } else if (outcome.empty()) {
        outcome = "direct";
    }
    ++total.outcomes[outcome];
    const std::string expected = absl::StartsWith(target, absl::string_view(prefix.data(), prefix.size())) ? target.substr(prefix.size()) : target;
    if (options.checkAnswer && (outcome == "completed" || outcome == "direct")
        && !absl::StrContains(result.response.body, absl::StrCat("answer to ", expected, " "))) {
        ++total.wrongAnswers;
    }
    if (outcome == "not-run") {
        total.withoutRetryAfter += result.response.status == 503 && result.response.header("Retry-After").empty() ? 1 : 0;
        total.notRunIds.emplace_back(result.response.header(instance::requestIdHeader));
    }
}

} // namespace

Duration CallerResult::quantile(double q) const
{
    if (this->times.empty()) {
        return absl::ZeroDuration();
    }
    std::vector<Duration> sorted = this->times;
    std::sort(sorted.begin(), sorted.end());
    return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(q * static_cast<double>(sorted.size())))];
}

std::size_t CallerResult::count(const std::string &outcome) const
{
    const auto found = this->outcomes.find(outcome);
    return found == this->outcomes.end() ? 0 : found->second;
}

CallerResult callAll(const CallerOptions &options)
{
    CallerResult total;
    http::TransferPool pool;
    std::size_t startedCount = 0;
    std::size_t endedCount = 0;
    const Timestamp start = controlNow();
    while (endedCount < options.requests) {
        while (startedCount < options.requests && startedCount - endedCount < options.concurrency) {
            const std::string target = absl::StrReplaceAll(options.target, {{"{n}", absl::StrCat(startedCount)}});
            http::OutgoingRequest request;
            request.method = options.method;
            request.url = absl::StrCat("http://", options.servers[startedCount % options.servers.size()], target);
            for (const auto &[name, value] : options.headers) {
                request.headers.emplace_back(name, absl::StrReplaceAll(value, {{"{n}", absl::StrCat(startedCount)}}));
            }
            request.body = options.body;
            request.timeout = options.timeout;
            const Timestamp sent = controlNow();
            pool.start(std::move(request), [&, target, sent](const http::TransferResult &result) {
                total.times.push_back(controlNow() - sent);
                recordResult(options, target, result, total);
                ++endedCount;
            });
            ++startedCount;
        }
        pool.run(absl::Milliseconds(50));
    }
    total.elapsed = controlNow() - start;
    return total;
}

} // namespace paddlepier::testing
