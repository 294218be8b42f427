// A core machine is lost for good while the system starts for the first time, and replaced by an empty one at another address.
//
// usage: firststart PROGRAM RECORD
// Exits with 1 if the operator's first config isn't confirmed, 0 if it is, 2 if the case couldn't run.

#include "system.h"

#include <array>
#include <csignal>
#include <exception>
#include <iostream>

namespace
{

using review::Millis;

/** From the start of the first machine to that of the last one: "within 0.3 s of each other in any order". */
constexpr Millis startSpread(250);
/** The machine is lost this long after its start. */
constexpr Millis lostAfter(150);
/** `x` of `replace_core` in cfg-pier.toml. */
constexpr Millis replacedAfter(2000);
/** Far beyond `catch_up_s` 4, `recovery_s` 12 and `acknowledge_ms` 4,000 one after the other. */
constexpr std::int64_t observedMillis = 40'000;
/** The order's last confirmation in time: the new machine starts at 2.2 s, counts as lost for 4 s more, and 12 s + 4 s are the bounds after that. */
constexpr std::int64_t latestMillis = 23'000;

constexpr const char *config =
    R"({"version":7,"routes":[{"name":"r-1","host":"nony24.example","path_prefix":"/lohu930/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"huvo11a","max_attempts":2,"stretch":1.5}],"services":[{"name":"huvo11a","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_check":false,"spare":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
constexpr const char *job = R"({"task_spec":"t","steps":[{"count":1,"cpu":500,"requested_memory_mb":256,"estimated_ms":900}]})";

int run(const std::string &program, review::Record &record)
{
    review::System system(record, program);
    const std::array<std::string, 3> cores{"core-1", "core-2", "core-3"};
    for (const std::string &name : cores) {
        system.add(name, "core");
    }
    system.add("front-1", "entry");
    const std::vector<std::string> seeds{system.controlOf("core-1"), system.controlOf("core-2"), system.controlOf("core-3")};
    for (const char *name : {"core-1", "core-2", "core-3", "front-1"}) {
        system.machine(name).seeds = seeds;
    }
    std::vector<std::string> controls{"core-1", "core-2", "core-3"};
    system.start("core-3");
    review::sleepFor(lostAfter);
    if (review::hasTrouble()) {
        system.kill("core-3");
        controls = {"core-1", "core-2"};
    }
    review::sleepFor(startSpread - lostAfter);
    for (const char *name : {"core-1", "core-2", "front-1"}) {
        system.start(name);
    }
    std::int64_t firstSentAt = 0;
    bool isReplaced = !review::hasTrouble();
    while (record.now() < observedMillis) {
        if (!isReplaced && record.now() >= (lostAfter + replacedAfter).count()) {
            isReplaced = true;
            review::Machine &successor = system.add("core-4", "core");
            successor.isFirstStart = false;
            successor.seeds = {seeds[0], seeds[1], system.controlOf("core-4")};
            system.start("core-4");
            controls.emplace_back("core-4");
            // The settings files of the others name the new seeds too, and SIGHUP says so.
            for (const char *name : {"core-1", "core-2", "front-1"}) {
                system.machine(name).seeds = successor.seeds;
                system.writeSettings(system.machine(name));
                system.signal(name, SIGHUP);
            }
        }
        for (const std::string &name : controls) {
            firstSentAt = firstSentAt == 0 ? record.now() : firstSentAt;
            const review::HttpReply reply =
                review::call(system.machine(name).host, system.ports.control, "PUT", "/api/configuration", {}, config, Millis(1000));
            record.line("operator: PUT config 7 to " + name + ": " + std::to_string(reply.status) + " " + reply.body);
            if (reply.status == 200) {
                const review::HttpReply accepted = review::call(system.machine("front-1").host,
                                                                system.ports.front,
                                                                "POST",
                                                                "/lohu930/5c0e7a21d94b36f8",
                                                                {{"Host", "nony24.example"}, {"Paddlepier-Deadline-Remaining", "3000"}},
                                                                job,
                                                                Millis(3000));
                record.line("client: POST: " + std::to_string(accepted.status) + " " + accepted.body);
                record.line("confirmed " + std::to_string(record.now() - firstSentAt) + " ms after it was first sent");
                return record.now() <= latestMillis ? 0 : 1;
            }
        }
        const review::HttpReply refused = review::call(system.machine("front-1").host,
                                                       system.ports.front,
                                                       "POST",
                                                       "/lohu930/5c0e7a21d94b36f8",
                                                       {{"Host", "nony24.example"}, {"Paddlepier-Deadline-Remaining", "3000"}},
                                                       job,
                                                       Millis(3000));
        record.line("client: POST: " + std::to_string(refused.status) + " " + refused.body);
        review::sleepFor(Millis(500));
    }
    record.line("the first config was never confirmed, and no client was served; three core machines have run for 37 s");
    return 1;
}

} // namespace

int main(int count, char **words)
{
    if (count != 3) {
        std::cerr << "usage: firststart PROGRAM RECORD\n";
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
