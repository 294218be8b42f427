// Tasks that take far longer than declared run on sound minions; another submission waits beside them.
//
// usage: starve PROGRAM RECORD
// Exits with 1 if the other submission has nothing running, with room for it, `finish_s` and more after the last request; 0 if it has run; 2 if the
// case couldn't run.

#include "minions.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <exception>
#include <iostream>

namespace
{

using review::Millis;

constexpr int minionCount = 8;
constexpr int minionMilliProcessors = 16'000;
constexpr std::int64_t declaredMillis = 800;
constexpr std::int64_t longMillis = 160'000;
/** Tasks of the first submissions from this index on are the long ones: 24 of 36, the width that the class has at most. */
constexpr int firstLong = 12;
/** `finish_s`, after which the rule asks, and 16 s more. */
constexpr std::int64_t finishMillis = 14'000;
constexpr std::int64_t observedMillis = 30'000;
constexpr std::array<const char *, 2> firstIds{"5c0e7a21d94b36f8", "6d0e7a21d94b36f8"};
constexpr const char *secondId = "77aa7a21d94b36f8";

constexpr const char *config =
    R"({"version":7,"routes":[{"name":"r-1","host":"nony24.example","path_prefix":"/lohu930/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"huvo11a","max_attempts":2,"stretch":1.5},{"name":"r-2","host":"nony24.example","path_prefix":"/pufi791/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":1200,"priority":2,"service":"huvo11a","max_attempts":3,"stretch":2.2}],"services":[{"name":"huvo11a","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_check":false,"spare":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
constexpr const char *firstJob = R"({"task_spec":"t","steps":[{"count":36,"cpu":1300,"requested_memory_mb":256,"estimated_ms":800}]})";
constexpr const char *secondJob = R"({"task_spec":"u","steps":[{"count":1,"cpu":500,"requested_memory_mb":256,"estimated_ms":900}]})";

std::int64_t workOf(const std::string &task)
{
    const bool isFirst = task.compare(0, 16, secondId) != 0;
    const int index = std::stoi(task.substr(task.rfind('.') + 1));
    return isFirst && index >= firstLong && review::hasTrouble() ? longMillis : declaredMillis;
}

int run(const std::string &program, review::Record &record)
{
    review::System system(record, program);
    std::vector<std::string> hosts;
    for (const char *name : {"core-1", "core-2", "core-3"}) {
        hosts.push_back(system.add(name, "core").host);
    }
    const std::string front = system.add("front-1", "entry").host;
    for (const char *name : {"core-1", "core-2", "core-3", "front-1"}) {
        system.machine(name).seeds = {system.controlOf("core-1"), system.controlOf("core-2"), system.controlOf("core-3")};
        system.start(name);
    }
    bool isConfigured = false;
    while (!isConfigured && record.now() < 10'000) {
        isConfigured = review::call(hosts[0], system.ports.control, "PUT", "/api/configuration", {}, config, Millis(1000)).status == 200;
        review::sleepFor(Millis(300));
    }
    review::Minions minions(record, system.ports.front, hosts, system.ports.control, declaredMillis, 0);
    minions.setWork(&workOf, minionMilliProcessors);
    for (int number = 0; number < minionCount; ++number) {
        minions.add(system.nextHost());
    }
    review::sleepFor(Millis(3000));
    const std::map<std::string, std::string> headers{{"Host", "nony24.example"}, {"Paddlepier-Deadline-Remaining", "3000"}};
    const auto request = [&](const std::string &method, const std::string &path, const std::string &body) {
        review::HttpReply reply = review::call(front, system.ports.front, method, path, headers, body, Millis(3000));
        record.line("client: " + method + " " + path + ": " + std::to_string(reply.status) + " " + reply.body);
        return reply;
    };
    const std::string secondPath = std::string("/pufi791/") + secondId;
    for (const char *id : firstIds) {
        if (!isConfigured || request("POST", std::string("/lohu930/") + id, firstJob).status != 200) {
            return 2;
        }
    }
    review::sleepFor(Millis(12'000));
    if (request("POST", secondPath, secondJob).status != 200) {
        return 2;
    }
    const std::int64_t sentAt = record.now();
    const auto hasStarted = [&minions] {
        const std::vector<review::AcceptedStart> starts = minions.starts();
        return std::any_of(starts.begin(), starts.end(), [](const review::AcceptedStart &start) { return start.task.compare(0, 16, secondId) == 0; });
    };
    std::size_t mostRunning = 0;
    while (!hasStarted() && record.now() < sentAt + observedMillis) {
        review::sleepFor(Millis(50));
        mostRunning = record.now() < sentAt + finishMillis ? 0 : std::max(mostRunning, minions.runningTasks());
    }
    const bool isStarted = hasStarted();
    for (const char *id : firstIds) {
        request("GET", std::string("/lohu930/") + id, "");
    }
    request("GET", secondPath, "");
    record.line(std::string("the second submission ") + (isStarted ? "started " : "hasn't started ") + std::to_string(record.now() - sentAt)
                + " ms after it was accepted; from finish_s on at most " + std::to_string(mostRunning) + " tasks of 1.3 cores ran on 128 cores");
    return isStarted ? 0 : 1;
}

} // namespace

int main(int count, char **words)
{
    if (count != 3) {
        std::cerr << "usage: starve PROGRAM RECORD\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        review::Record record(words[2]);
        return run(words[1], record);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
