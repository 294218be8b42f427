// Callers and operators of one seed.

#include "testing/soak/traffic.h"

#include "platform/codec.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>

namespace paddlepier::testing::soak
{

namespace
{

using Json = nlohmann::json;

const http::Headers headers{{"Host", "jobs.example"}, {"Content-Type", "application/json"}, {"Paddlepier-Deadline-Remaining", "2000"}};

constexpr std::uint64_t callerCount = 12;

/** Every second caller pauses for long between calls, so that idle connections are open when an instance begins a planned stop. */
constexpr std::uint64_t maxLongPauseMillis = 4000;
constexpr std::uint64_t maxShortPauseMillis = 150;
constexpr std::uint64_t operatorCount = 2;
constexpr std::uint64_t queueCount = 3;

/** With series: one caller in this many keeps its connection until it is closed. */
constexpr std::uint64_t callersPerKeepingOne = 3;

/** With series: the longest pause between two changes, every how many changes one is large, and its number of additional queues. */
constexpr std::uint64_t maxSeriesPauseMillis = 60;
constexpr std::uint64_t changesPerLargeOne = 10;
constexpr std::uint64_t largeQueueCount = 500;

/** Number that no caller has, for jobs submitted by checks. */
constexpr std::uint64_t probeNumber = 255;

/** A caller's timeout for one call. */
constexpr Duration callTimeout = absl::Seconds(2);

/** An operator tries the next machine after this; PROTOCOL.md. */
constexpr Duration operatorTimeout = absl::Seconds(1);

/** Between the calls of a check. */
constexpr Duration probePause = absl::Milliseconds(50);

/** One job in this many crashes workers: each of its tasks takes down one to four. */
constexpr std::uint64_t jobsPerCrashingOne = 120;

/** Per caller. Lasting jobs run until the end of the seed; this leaves most of the workers to other jobs. */
constexpr std::size_t maxLastingJobs = 3;

std::uint64_t randomBelow(std::mt19937_64 &random, std::uint64_t bound)
{
    return random() % bound;
}

void sleepUpTo(std::mt19937_64 &random, std::uint64_t maxMillis)
{
    absl::SleepFor(absl::Milliseconds(static_cast<std::int64_t>(randomBelow(random, maxMillis))));
}

Json randomStep(std::mt19937_64 &random, std::uint64_t maxTasks)
{
    return {{"count", 1 + randomBelow(random, maxTasks)},
            {"cpu", 250 * (1 + randomBelow(random, 6))},
            {"requested_memory_mb", 100},
            {"estimated_ms", 50 + randomBelow(random, 900)}};
}

/** A random job: with one step, with several steps, a gang, or lasting. */
Json randomJob(std::mt19937_64 &random, bool mayBeLasting)
{
    const std::uint64_t kind = randomBelow(random, 20);
    const char *payload = randomBelow(random, 10) == 0 ? "flaky" : randomBelow(random, 40) == 0 ? "hopeless" : "plain";
    Json job{{"task_spec", payload}, {"steps", Json::array({randomStep(random, 5)})}};
    if (kind < 6) {
        for (std::uint64_t more = 1; more <= 1 + randomBelow(random, 2); ++more) {
            job["steps"].push_back(randomStep(random, 4));
            job["steps"].back()["after"] = {more - 1};
        }
    } else if (kind < 9) {
        job["steps"][0]["gang"] = true;
        job["steps"][0]["count"] = 2 + randomBelow(random, 3);
    } else if (kind < 11 && mayBeLasting) {
        job["steps"][0]["long_running"] = true;
        job["steps"][0]["count"] = 1 + randomBelow(random, 2);
        job["steps"][0]["cpu"] = 250;
    }
    return job;
}

std::string configuration(std::uint64_t version, std::uint64_t timeoutMillis, bool isValid, std::uint64_t additionalQueues = 0)
{
    Json routes = Json::array();
    for (std::uint64_t queue = 0; queue < queueCount; ++queue) {
        routes.push_back({{"name", absl::StrCat("q", queue)},
                          {"host", "jobs.example"},
                          {"path_prefix", absl::StrCat("/q", queue, "/")},
                          {"timeout_ms", timeoutMillis},
                          {"priority", queue},
                          {"service", "pool"},
                          {"max_attempts", attemptsPerTask}});
    }
    for (std::uint64_t queue = 0; queue < additionalQueues; ++queue) {
        routes.push_back(routes[0]);
        routes.back()["name"] = absl::StrCat("additional", queue);
        routes.back()["path_prefix"] = absl::StrCat("/additional", queue, "/");
    }
    if (version % 2 == 0) {
        routes.push_back({{"name", "more"}, {"host", "jobs.example"}, {"path_prefix", "/more/"}, {"timeout_ms", 1000}, {"service", "pool"}});
    }
    if (!isValid) {
        routes.back()["service"] = "none";
    }
    return Json{{"version", version}, {"routes", routes}, {"services", {{{"name", "pool"}}}}}.dump();
}

} // namespace

struct Traffic::Caller {
    std::uint64_t number = 0;
    std::mt19937_64 random;
    /** For choices that were added later, so that the other calls of recorded seeds stay the same. */
    std::mt19937_64 laterRandom;
    std::uint32_t entry = 0;
    std::unique_ptr<Channel> channel;
    std::vector<std::string> jobs;
    std::size_t lastingJobs = 0;
    /** Answers don't make it change to another entry. */
    bool keepsConnection = false;
};

Traffic::Traffic(const Cell &servedCell, Sizes cellSizes, std::uint64_t trafficSeed, Checker &violationChecker)
    : cell(servedCell)
    , sizes(cellSizes)
    , seed(trafficSeed)
    , checker(violationChecker)
{
}

Traffic::~Traffic()
{
    this->stop();
}

void Traffic::start()
{
    for (std::uint64_t number = 0; number < callerCount; ++number) {
        this->threads.emplace_back([this, number] {
            Caller caller{number,
                          std::mt19937_64(this->seed * 100 + number),
                          std::mt19937_64(this->seed * 100 + number + 70),
                          static_cast<std::uint32_t>(number),
                          nullptr,
                          {},
                          0,
                          hasSeries(this->seed) && number % callersPerKeepingOne == 0};
            while (!this->stopping) {
                this->call(caller);
                const std::uint64_t millis = randomBelow(caller.random, number % 2 == 0 ? maxShortPauseMillis : maxLongPauseMillis);
                waitUntil([this] { return this->stopping.load(); }, absl::Milliseconds(static_cast<std::int64_t>(millis)));
            }
        });
    }
    for (std::uint64_t number = 0; number < operatorCount; ++number) {
        this->threads.emplace_back([this, number] { this->operate(number); });
    }
    if (hasSeries(this->seed)) {
        this->threads.emplace_back([this] { this->changeInSeries(); });
    }
}

void Traffic::stop()
{
    this->stopping = true;
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

Reply Traffic::send(Caller &caller, const std::string &method, const std::string &job, const std::string &body)
{
    if (!caller.channel) {
        caller.entry = (caller.entry + 1) % this->sizes.entries;
        caller.channel = std::make_unique<Channel>(this->cell.front(caller.entry), headers);
    }
    const std::string path = absl::StrCat("/q", job.back() % queueCount, "/", job);
    Reply reply = caller.channel->call(method, path, body, callTimeout);
    this->checker.callEnded(reply, this->cell.stopAt(caller.entry));
    if (reply.ending != Ending::Answered || (reply.status >= 500 && !caller.keepsConnection)) {
        caller.channel.reset();
    }
    return reply;
}

void Traffic::call(Caller &caller)
{
    const std::uint64_t choice = randomBelow(caller.random, 20);
    if (choice < 9 || caller.jobs.empty()) {
        this->submit(caller);
    } else if (choice < 10) {
        this->cancel(caller);
    } else {
        // Usually one of the most recent jobs.
        const std::size_t back = std::min<std::size_t>(caller.jobs.size(), 1 + randomBelow(caller.random, choice < 13 ? 100 : 6));
        this->queryState(caller, caller.jobs[caller.jobs.size() - back]);
    }
}

void Traffic::submit(Caller &caller)
{
    Json job = randomJob(caller.random, caller.lastingJobs < maxLastingJobs);
    if (randomBelow(caller.laterRandom, jobsPerCrashingOne) == 0) {
        job["task_spec"] = crashingPayload;
    }
    caller.lastingJobs += job["steps"][0].contains("long_running") ? 1 : 0;
    const std::string id = absl::StrFormat("%08x%02x%06x", this->seed & 0xffffffffU, caller.number, caller.jobs.size());
    const std::string body = job.dump();
    const work::JobSpecT spec = platform::decodeJob(body);
    caller.jobs.push_back(id);
    const std::uint64_t attempts = 1 + randomBelow(caller.random, 6);
    const bool repeatsAccepted = randomBelow(caller.random, 10) == 0;
    for (std::uint64_t attempt = 0; attempt < attempts; ++attempt) {
        this->checker.submitSent(id, spec);
        const Reply reply = this->send(caller, "POST", id, body);
        this->checker.submitEnded(id, reply);
        if (reply.status == 200 && !repeatsAccepted) {
            return;
        }
        sleepUpTo(caller.random, 200);
    }
}

std::optional<Duration> Traffic::submitUntilAccepted(Duration timeout, Duration taskTime)
{
    const Timestamp begin = controlNow();
    const std::size_t number = this->probes++;
    Caller caller{probeNumber, std::mt19937_64(this->seed), std::mt19937_64(this->seed), static_cast<std::uint32_t>(number), nullptr, {}, 0};
    const std::string id = absl::StrFormat("%08x%02x%06x", this->seed & 0xffffffffU, probeNumber, number);
    const Json step{{"count", 1}, {"cpu", 250}, {"requested_memory_mb", 100}, {"estimated_ms", absl::ToInt64Milliseconds(taskTime)}};
    const std::string body = Json{{"task_spec", "plain"}, {"steps", {step}}}.dump();
    const work::JobSpecT spec = platform::decodeJob(body);
    int status = 0;
    do {
        this->checker.submitSent(id, spec);
        const Reply reply = this->send(caller, "POST", id, body);
        this->checker.submitEnded(id, reply);
        status = reply.status;
        if (status != 200) {
            absl::SleepFor(probePause);
        }
    } while (status != 200 && controlNow() < begin + timeout);
    const Duration time = controlNow() - begin;
    return status == 200 && time <= timeout ? std::optional(time) : std::nullopt;
}

void Traffic::submitInCalm(Duration time)
{
    const Timestamp end = controlNow() + time;
    while (controlNow() < end) {
        if (!this->submitUntilAccepted(2 * callTimeout)) {
            this->checker.violation(absl::StrCat("LOST: a job submitted in a calm span was not accepted within ", absl::FormatDuration(2 * callTimeout)));
        }
        absl::SleepFor(probePause);
    }
}

void Traffic::cancel(Caller &caller)
{
    const std::string &job = caller.jobs[caller.jobs.size() - std::min<std::size_t>(caller.jobs.size(), 1 + randomBelow(caller.random, 10))];
    this->checker.cancelSent(job);
    for (int attempt = 0; attempt < 4; ++attempt) {
        const Reply reply = this->send(caller, "DELETE", job);
        this->checker.cancelEnded(job, reply);
        if (reply.status == 200 || reply.status == 410) {
            return;
        }
    }
}

void Traffic::queryState(Caller &caller, const std::string &job)
{
    this->checker.stateEnded(job, this->send(caller, "GET", job));
}

void Traffic::queryUnsettledJobs()
{
    Caller caller{callerCount, std::mt19937_64(this->seed), std::mt19937_64(this->seed), 0, nullptr, {}, 0};
    for (const std::string &job : this->checker.unsettledJobs()) {
        this->queryState(caller, job);
    }
}

Reply Traffic::change(std::uint64_t version, const std::string &body, std::mt19937_64 &random)
{
    Channel channel(this->cell.control(static_cast<std::uint32_t>(randomBelow(random, this->sizes.cores))), headers);
    Reply reply = channel.call("PUT", "/api/configuration", body, operatorTimeout);
    this->checker.configurationEnded(version, reply);
    return reply;
}

bool Traffic::configure(Duration timeout)
{
    std::mt19937_64 random(this->seed);
    const std::string body = configuration(++this->newestVersion, 3000, true);
    this->checker.configurationSent(this->newestVersion, body);
    return waitUntil([&] { return this->change(this->newestVersion, body, random).status == 200; }, timeout);
}

void Traffic::operate(std::uint64_t number)
{
    std::mt19937_64 random(this->seed * 100 + 50 + number);
    std::vector<std::pair<std::uint64_t, std::string>> earlier;
    while (!this->stopping) {
        const bool isValid = randomBelow(random, 8) != 0;
        std::uint64_t version = this->newestVersion += 1 + randomBelow(random, 5);
        std::string body = configuration(version, 1000 + randomBelow(random, 3000), isValid);
        if (!earlier.empty() && randomBelow(random, 5) == 0) {
            std::tie(version, body) = earlier[randomBelow(random, earlier.size())];
        } else if (isValid) {
            earlier.emplace_back(version, body);
            this->checker.configurationSent(version, body);
        } else {
            version = 0;
        }
        for (int attempt = 0; attempt < 4 && !this->stopping; ++attempt) {
            const int status = this->change(version, body, random).status;
            if (status == 200 || (status >= 400 && status < 500)) {
                break;
            }
            sleepUpTo(random, 300);
        }
        Channel reader(this->cell.control(static_cast<std::uint32_t>(randomBelow(random, this->sizes.cores))), headers);
        this->checker.configurationRead(reader.call("GET", "/api/configuration", "", operatorTimeout));
        sleepUpTo(random, 800);
    }
}

void Traffic::changeInSeries()
{
    std::mt19937_64 random(this->seed * 100 + 60);
    for (std::uint64_t change = 1; !this->stopping; ++change) {
        const std::uint64_t version = this->newestVersion += 1 + randomBelow(random, 3);
        const std::string body = configuration(version, 1000 + randomBelow(random, 3000), true, change % changesPerLargeOne == 0 ? largeQueueCount : 0);
        this->checker.configurationSent(version, body);
        this->change(version, body, random);
        sleepUpTo(random, maxSeriesPauseMillis);
    }
}

bool Traffic::readBack()
{
    bool isComplete = true;
    for (std::uint32_t core = 0; core < this->sizes.cores; ++core) {
        Channel reader(this->cell.control(core), headers);
        const Reply reply = reader.call("GET", "/api/configuration", "", operatorTimeout);
        this->checker.configurationRead(reply);
        isComplete = isComplete && reply.status == 200;
    }
    return isComplete;
}

} // namespace paddlepier::testing::soak
