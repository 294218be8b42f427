// A minion crashes under a gang that has saved; the gang starts again.
//
// usage: gang PROGRAM RECORD
// Exits with 1 if the tasks of one run of the gang were started with different values of `last_checkpoint`, 0 if not, 2 if the case couldn't run.

#include "minions.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <set>

namespace
{

using review::Millis;

constexpr std::size_t gangSize = 4;
constexpr std::int64_t workMillis = 12'000;
/** 1 of 8 minions: `srv_crash` has `share` 0.14, `for_s` 4.5 in cfg-pier.toml. */
constexpr int minionCount = 8;
constexpr std::int64_t downMillis = 4500;
constexpr std::int64_t observedMillis = 60'000;

constexpr const char *config =
    R"({"version":7,"routes":[{"name":"r-1","host":"nony24.example","path_prefix":"/lohu930/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":1200,"priority":2,"service":"huvo11a","max_attempts":4,"stretch":2.2}],"services":[{"name":"huvo11a","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_check":false,"spare":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
constexpr const char *job =
    R"({"task_spec":"t","steps":[{"count":4,"cpu":1000,"requested_memory_mb":256,"estimated_ms":12000,"checkpointing":true,"gang":true}]})";

bool waitForStatus(review::Record &record, std::int64_t end, const std::function<review::HttpReply()> &attempt, const std::string &what)
{
    while (record.now() < end) {
        const review::HttpReply reply = attempt();
        if (reply.status == 200) {
            record.line(what + ": 200 " + reply.body.substr(0, 80));
            return true;
        }
        review::sleepFor(Millis(300));
    }
    return false;
}

int run(const std::string &program, review::Record &record)
{
    review::System system(record, program);
    const std::vector<std::string> cores{"core-1", "core-2", "core-3"};
    std::vector<std::string> hosts;
    hosts.reserve(cores.size());
    for (const std::string &name : cores) {
        hosts.push_back(system.add(name, "core").host);
    }
    const std::string front = system.add("front-1", "entry").host;
    for (const char *name : {"core-1", "core-2", "core-3", "front-1"}) {
        system.machine(name).seeds = {system.controlOf("core-1"), system.controlOf("core-2"), system.controlOf("core-3")};
        system.start(name);
    }
    const auto put = [&] { return review::call(hosts[0], system.ports.control, "PUT", "/api/configuration", {}, config, Millis(1000)); };
    if (!waitForStatus(record, 10'000, put, "operator: PUT config 7")) {
        return 2;
    }
    review::Minions minions(record, system.ports.front, hosts, system.ports.control, workMillis, gangSize);
    for (int number = 0; number < minionCount; ++number) {
        minions.add(system.nextHost());
    }
    const std::map<std::string, std::string> headers{{"Host", "nony24.example"}, {"Paddlepier-Deadline-Remaining", "3000"}};
    const std::string path = "/lohu930/5c0e7a21d94b36f8";
    review::sleepFor(Millis(3000));
    const auto post = [&] { return review::call(front, system.ports.front, "POST", path, headers, job, Millis(3000)); };
    if (!waitForStatus(record, 20'000, post, "client: POST")) {
        return 2;
    }
    const std::int64_t crashAt = record.now() + 4000;
    std::string crashed;
    bool isBack = false;
    while (record.now() < observedMillis && minions.doneTasks() < gangSize) {
        review::sleepFor(Millis(50));
        if (review::hasTrouble() && crashed.empty() && record.now() >= crashAt) {
            crashed = minions.findBusy();
            minions.crash(crashed);
        }
        if (!crashed.empty() && !isBack && record.now() >= crashAt + downMillis) {
            isBack = true;
            minions.revive(crashed);
        }
    }
    record.line("client: GET: " + review::call(front, system.ports.front, "GET", path, headers, "", Millis(3000)).body);
    std::map<int, std::set<std::string>> valuesByRun;
    for (const review::AcceptedStart &start : minions.starts()) {
        valuesByRun[start.run].insert(start.checkpoint);
    }
    bool isBroken = false;
    for (const auto &[number, values] : valuesByRun) {
        std::string list;
        for (const std::string &value : values) {
            list += " \"" + value + "\"";
        }
        record.line("run " + std::to_string(number) + " of the gang was started with" + list);
        isBroken = isBroken || values.size() > 1;
    }
    return isBroken ? 1 : minions.doneTasks() == gangSize ? 0 : 2;
}

} // namespace

int main(int count, char **words)
{
    if (count != 3) {
        std::cerr << "usage: gang PROGRAM RECORD\n";
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
