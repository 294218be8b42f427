// A front freezes while it takes a submission; the client, without an answer, cancels it at another front.
//
// usage: cancel PROGRAM RECORD
// Exits with 1 if a task of the submission runs long after its cancelling was acknowledged, 0 if not, 2 if the case couldn't run.

#include "minions.h"

#include <csignal>
#include <exception>
#include <iostream>

namespace
{

using review::Millis;

/** `for_s` of `node_freeze` in cfg-pier.toml; here 1 front of 7. */
constexpr std::int64_t freezeMillis = 4000;
/** The client leaves after a part of its time budget of 3 s (`give_up`). */
constexpr Millis patience(500);
constexpr int minionCount = 4;
constexpr int frontCount = 7;
/** The task may not start `cancel_ms` after the acknowledgement; `stop_grace_ms` later, and `contact_ms` after the thaw, it has to be gone. */
constexpr std::int64_t goneAfterMillis = 15'000;

constexpr const char *config =
    R"({"version":7,"routes":[{"name":"r-1","host":"nony24.example","path_prefix":"/pule252/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":2500,"priority":1,"service":"huvo11a","max_attempts":4,"stretch":2.2}],"services":[{"name":"huvo11a","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_check":false,"spare":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
constexpr const char *job = R"({"task_spec":"t","steps":[{"count":1,"cpu":500,"requested_memory_mb":256,"estimated_ms":400,"long_running":true}]})";
constexpr const char *path = "/pule252/5c0e7a21d94b36f8";

int run(const std::string &program, review::Record &record)
{
    review::System system(record, program);
    std::vector<std::string> names{"core-1", "core-2", "core-3"};
    std::vector<std::string> hosts;
    hosts.reserve(names.size());
    for (const std::string &name : names) {
        hosts.push_back(system.add(name, "core").host);
    }
    for (int number = 1; number <= frontCount; ++number) {
        names.push_back("front-" + std::to_string(number));
        system.add(names.back(), "entry");
    }
    for (const std::string &name : names) {
        system.machine(name).seeds = {system.controlOf("core-1"), system.controlOf("core-2"), system.controlOf("core-3")};
        system.start(name);
    }
    bool isConfigured = false;
    while (!isConfigured && record.now() < 10'000) {
        isConfigured = review::call(hosts[0], system.ports.control, "PUT", "/api/configuration", {}, config, Millis(1000)).status == 200;
        review::sleepFor(Millis(300));
    }
    if (!isConfigured) {
        return 2;
    }
    review::Minions minions(record, system.ports.front, hosts, system.ports.control, 1'000'000'000, 1, true);
    for (int number = 0; number < minionCount; ++number) {
        minions.add(system.nextHost());
    }
    review::sleepFor(Millis(3000));
    const std::map<std::string, std::string> headers{{"Host", "nony24.example"}, {"Paddlepier-Deadline-Remaining", "3000"}};
    const auto request = [&](const std::string &front, const std::string &method, const std::string &body, Millis timeout) {
        review::HttpReply reply = review::call(system.machine(front).host, system.ports.front, method, path, headers, body, timeout);
        record.line("client: " + method + " at " + front + ": " + std::to_string(reply.status) + " " + reply.body);
        return reply;
    };
    const std::int64_t frozenAt = record.now();
    if (review::hasTrouble()) {
        system.signal("front-1", SIGSTOP);
    }
    request("front-1", "POST", job, patience);
    const int status = request("front-2", "DELETE", "", Millis(3000)).status;
    const std::int64_t acknowledgedAt = record.now();
    if (status != 200 && status != 410) {
        return 2;
    }
    if (review::hasTrouble()) {
        review::sleepFor(Millis(freezeMillis - (record.now() - frozenAt)));
        system.signal("front-1", SIGCONT);
    }
    bool isStarted = false;
    while (record.now() < acknowledgedAt + goneAfterMillis) {
        review::sleepFor(Millis(100));
        const std::vector<review::AcceptedStart> starts = minions.starts();
        if (!isStarted && !starts.empty()) {
            isStarted = true;
            record.line("a task of the submission has started");
        }
    }
    request("front-2", "GET", "", Millis(3000));
    const std::size_t running = minions.runningTasks();
    record.line(std::to_string(running) + " tasks of the cancelled submission run, " + std::to_string(record.now() - acknowledgedAt)
                + " ms after its cancelling was acknowledged");
    return running > 0 ? 1 : 0;
}

} // namespace

int main(int count, char **words)
{
    if (count != 3) {
        std::cerr << "usage: cancel PROGRAM RECORD\n";
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
