// Program: measures a cell of real processes on loopback, for the figures of docs/MEASUREMENTS.md that need one.
//
// Each entry instance runs in a separate process, so that processor time and memory are read per instance; the stand-in
// workers run in this program. Each line of output is one figure with its condition.

#include "testing/caller.h"
#include "testing/harness.h"
#include "testing/worker.h"

#include "paddlepier/base/log.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

using namespace paddlepier;
using namespace paddlepier::testing;

namespace
{

constexpr const char *partner = "north";
const std::vector<std::string> entryIds{"a1", "a2", "a3"};

struct Usage {
    double cpuSeconds = 0;
    double residentMegabytes = 0;
    double peerBytes = 0;
    double placed = 0;
};

class Bench
{
public:
    Bench(const std::string &programs, int workerCount)
        : cell(programs,
               {{"a1", partner, "dc-1"}, {"a2", partner, "dc-1"}, {"a3", partner, "dc-1"}},
               {{"dc-1", {"a1", "a2", "a3"}}, {"deployment", {"a1", "a2", "a3"}}})
    {
        this->cell.startAll();
        for (int number = 0; number < workerCount; ++number) {
            WorkerOptions options;
            options.name = absl::StrCat("w", number);
            options.partner = partner;
            options.dataCentre = "dc-1";
            options.rack = absl::StrCat("r", number / 8);
            options.token = Cell::workerToken(partner);
            options.address = Endpoint::parse(absl::StrCat("127.0.0.1:", freePort())).value();
            options.entries = this->cell.httpOfDataCentre("dc-1");
            std::rotate(options.entries.begin(), options.entries.begin() + number % 3, options.entries.end());
            options.logPath = "/dev/null";
            this->workers.push_back(std::make_unique<StandinWorker>(options));
            this->addresses.push_back(options.address.text());
        }
        if (!this->cell.waitReady("a1", static_cast<std::size_t>(workerCount))) {
            throw InternalError("the cell did not become ready");
        }
    }

    Usage usage(const std::string &id) const
    {
        Usage usage;
        std::ifstream stat(absl::StrCat("/proc/", this->cell.pidOf(id), "/stat"));
        std::string word;
        for (int field = 1; field <= 24 && stat >> word; ++field) {
            const double number = std::strtod(word.c_str(), nullptr);
            usage.cpuSeconds += field == 14 || field == 15 ? number / static_cast<double>(::sysconf(_SC_CLK_TCK)) : 0;
            usage.residentMegabytes = field == 24 ? number * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6 : usage.residentMegabytes;
        }
        usage.peerBytes = this->metric(id, "peer_sent_bytes_total");
        usage.placed = this->metric(id, "ledger_placed_tasks_total{ledger=\"dc-1\"}");
        return usage;
    }

    double metric(const std::string &id, const std::string &name) const
    {
        http::OutgoingRequest request;
        request.method = "GET";
        request.url = absl::StrCat("http://", this->cell.httpOf(id), "/metrics");
        std::istringstream lines(http::fetch(request).response.body);
        std::string line;
        while (std::getline(lines, line)) {
            if (line.compare(0, name.size() + 1, name + " ") == 0) {
                return std::strtod(line.c_str() + name.size() + 1, nullptr);
            }
        }
        return 0;
    }

    std::string leader() const
    {
        return this->cell.call<wire::StatusReplyT>("a1", rpc::Method::Status, wire::StatusRequestT(), partner).leader;
    }

    /** Prints the resource usage of each instance while @p load runs. */
    void report(const std::string &condition, const std::function<void()> &load) const
    {
        std::map<std::string, Usage> before;
        for (const std::string &id : entryIds) {
            before[id] = this->usage(id);
        }
        const Timestamp start = controlNow();
        load();
        const double seconds = absl::ToDoubleSeconds(controlNow() - start);
        const std::string leaderId = this->leader();
        for (const std::string &id : entryIds) {
            const Usage after = this->usage(id);
            std::cout << condition << " " << (id == leaderId ? "leader" : "follower") << ": cpu " << (after.cpuSeconds - before[id].cpuSeconds) / seconds * 100
                      << " % of a core, memory " << after.residentMegabytes << " MB, peer bytes sent "
                      << (after.peerBytes - before[id].peerBytes) / seconds / 1000 << " KB/s, placed " << (after.placed - before[id].placed) / seconds
                      << " tasks/s\n";
        }
    }

    Cell cell;
    std::vector<std::unique_ptr<StandinWorker>> workers;
    std::vector<std::string> addresses;
};

void sleepFor(Duration duration)
{
    absl::SleepFor(duration);
}

void printTimes(const std::string &condition, const CallerResult &result)
{
    std::cout << condition << ": " << result.times.size() << " requests, " << result.count("completed") + result.count("direct") << " completed, p50 "
              << absl::ToDoubleMicroseconds(result.quantile(0.5)) << " us, p99 " << absl::ToDoubleMicroseconds(result.quantile(0.99)) << " us, "
              << static_cast<double>(result.times.size()) / absl::ToDoubleSeconds(result.elapsed) << " requests/s\n";
}

void measureIdle(const std::string &programs)
{
    for (const int workers : {10, 40, 120}) {
        const Bench bench(programs, workers);
        sleepFor(absl::Seconds(2));
        bench.report(absl::StrCat("idle, ", workers, " workers,"), [] { sleepFor(absl::Seconds(6)); });
    }
}

void measureQuick(const std::string &programs)
{
    const Bench bench(programs, 8);
    sleepFor(absl::Seconds(2));
    CallerOptions through;
    through.servers = {bench.cell.httpOf("a1")};
    through.target = "/v1/quick/reading?n={n}";
    CallerOptions direct = through;
    direct.servers = bench.addresses;
    direct.target = "/reading?n={n}";
    for (const std::size_t concurrency : {1U, 8U}) {
        through.concurrency = direct.concurrency = concurrency;
        through.requests = direct.requests = 4000;
        for (int round = 0; round < 2; ++round) {
            printTimes(absl::StrCat("quick, straight to workers, concurrency ", concurrency), callAll(direct));
            printTimes(absl::StrCat("quick, through one entry, concurrency ", concurrency), callAll(through));
        }
    }
    through.concurrency = 16;
    through.requests = 30000;
    const double before = bench.usage("a1").cpuSeconds;
    const CallerResult result = callAll(through);
    const double spent = bench.usage("a1").cpuSeconds - before;
    printTimes("quick, through one entry, concurrency 16", result);
    std::cout << "quick, requests per second of one core of the entry: " << static_cast<double>(through.requests) / spent << "\n";
}

wire::JobSpecT shortTasks(std::uint32_t tasks)
{
    wire::JobSpecT spec;
    spec.name = "short";
    spec.tasks = tasks;
    spec.resources = wire::Resources(250, 64, 0);
    spec.command = "millis=300";
    return spec;
}

void measureStarts(const std::string &programs, int workers, std::uint32_t tasksPerSecond)
{
    const Bench bench(programs, workers);
    std::vector<std::string> jobs;
    bench.report(absl::StrCat(tasksPerSecond, " task starts/s asked, ", workers, " workers,"), [&] {
        constexpr int seconds = 6;
        constexpr std::uint32_t jobsPerSecond = 5;
        const Timestamp start = controlNow();
        for (std::uint32_t number = 0; number < seconds * jobsPerSecond; ++number) {
            jobs.push_back(bench.cell.submit("a1", partner, shortTasks(tasksPerSecond / jobsPerSecond), absl::StrCat("job-", number)));
            sleepFor(start + absl::Seconds(static_cast<double>(number + 1) / jobsPerSecond) - controlNow());
        }
    });
    std::vector<double> waits;
    for (const std::string &job : jobs) {
        bench.cell.waitForState("a1", partner, job, wire::TaskState::Succeeded);
        const auto summary = std::move(bench.cell.explain("a1", partner, job).summary);
        waits.push_back(static_cast<double>(summary->firstStartAtMicros - summary->submittedAtMicros) / 1000);
    }
    std::sort(waits.begin(), waits.end());
    std::cout << "waiting time from submission to first reported start, " << tasksPerSecond << " starts/s: p50 " << waits[waits.size() / 2] << " ms, p99 "
              << waits[waits.size() * 99 / 100] << " ms\n";
    const std::string leaderId = bench.leader();
    std::cout << "commit through three replicas: p50 " << bench.metric(leaderId, "ledger_commit{ledger=\"dc-1\"}_p50_seconds") * 1000 << " ms, p99 "
              << bench.metric(leaderId, "ledger_commit{ledger=\"dc-1\"}_p99_seconds") * 1000 << " ms; disk write p50 "
              << bench.metric(leaderId, "disk_write_p50_seconds") * 1000 << " ms, p99 " << bench.metric(leaderId, "disk_write_p99_seconds") * 1000 << " ms\n";
}

void measureFailover(const std::string &programs)
{
    std::vector<double> gaps;
    for (int round = 0; round < 7; ++round) {
        Bench bench(programs, 2);
        const std::string victim = bench.leader();
        const std::string survivor = victim == "a1" ? "a2" : "a1";
        bench.cell.killEntry(victim);
        const Timestamp start = controlNow();
        waitUntil([&] {
            try {
                bench.cell.call<wire::StatusReplyT>(survivor, rpc::Method::Status, wire::StatusRequestT(), partner);
                return true;
            } catch (const Error &) {
                return false;
            }
        });
        gaps.push_back(absl::ToDoubleMilliseconds(controlNow() - start));
    }
    std::sort(gaps.begin(), gaps.end());
    std::cout << "from kill -9 of the leader to the next answered call: median of 7 " << gaps[3] << " ms, longest " << gaps[6] << " ms\n";
}

void measureConfiguration(const std::string &programs)
{
    const Bench bench(programs, 2);
    if (!waitUntil([&bench] {
            try {
                return bench.cell.configuration("a1").configuration != nullptr;
            } catch (const Error &) {
                return false;
            }
        })) {
        throw InternalError("the ledger of the deployment has no leader");
    }
    constexpr std::uint64_t changes = 30;
    std::vector<double> times;
    for (std::uint64_t version = 0; version < changes; ++version) {
        bench.cell.change("a1", version, absl::StrCat("[quick]\nqueuedRequests = ", 100 + version, "\n"), absl::StrCat("r", version));
        const Timestamp accepted = controlNow();
        waitUntil([&bench, version] {
            return std::all_of(entryIds.begin(), entryIds.end(), [&](const std::string &id) {
                return bench.metric(id, "configuration_changes_total") > static_cast<double>(version);
            });
        });
        times.push_back(absl::ToDoubleMilliseconds(controlNow() - accepted));
    }
    std::sort(times.begin(), times.end());
    std::cout << "configuration, from acceptance to in force in all three instances: p50 " << times[times.size() / 2] << " ms, longest of " << changes << " "
              << times.back() << " ms\n";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2) {
        std::cerr << "usage: measure PROGRAM-FOLDER [quick] [starts] [failover] [configuration] [idle]\n";
        return 2;
    }
    log::initialize(log::Level::Error);
    const std::vector<std::string> parts(argv + 2, argv + argc);
    const auto isSelected = [&parts](const char *part) { return parts.empty() || std::find(parts.begin(), parts.end(), part) != parts.end(); };
    const std::string programs = argv[1];
    try {
        if (isSelected("quick")) {
            measureQuick(programs);
        }
        if (isSelected("starts")) {
            measureStarts(programs, 24, 100);
            measureStarts(programs, 24, 550);
        }
        if (isSelected("failover")) {
            measureFailover(programs);
        }
        if (isSelected("configuration")) {
            measureConfiguration(programs);
        }
        if (isSelected("idle")) {
            measureIdle(programs);
        }
    } catch (const std::exception &error) {
        std::cerr << "measure: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
