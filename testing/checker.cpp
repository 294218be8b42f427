// Checks the logs of stand-in workers for violations of the scheduler's guarantees.

#include "testing/checker.h"

#include "paddlepier/ledger/resources.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <map>
#include <set>
#include <sstream>
#include <tuple>

namespace paddlepier::testing
{

namespace
{

constexpr std::int64_t notEnded = std::numeric_limits<std::int64_t>::max();
/** A draining worker must receive no new work once this time has passed since it announced the drain. */
constexpr std::int64_t drainGraceMicros = 2'000'000;

struct Run {
    std::int64_t start = 0;
    std::int64_t end = notEnded;
    std::uint64_t epoch = 0;
    std::string worker;
    wire::Resources need;
};

using TaskName = std::tuple<std::string, std::uint64_t, std::uint32_t>;

struct Observations {
    std::map<TaskName, std::vector<Run>> runs;
    std::map<std::string, std::size_t> runsByKey;
    std::set<std::string> requestIds;
};

void markAllEnded(Observations &observations, const std::string &worker, std::int64_t at)
{
    for (auto &[task, runs] : observations.runs) {
        for (Run &run : runs) {
            run.end = run.worker == worker && run.end == notEnded ? at : run.end;
        }
    }
}

void readLog(const WorkerLog &log, Observations &observations, CheckReport &report)
{
    std::ifstream stream(log.path);
    std::string line;
    std::int64_t drainedAt = notEnded;
    while (std::getline(stream, line)) {
        std::istringstream fields(line);
        std::int64_t at = 0;
        std::string event;
        fields >> at >> event;
        if (event == "drain") {
            drainedAt = at;
        } else if (event == "killed") {
            markAllEnded(observations, log.worker, at);
        } else if (event == "task-start") {
            Run run;
            std::uint64_t job = 0;
            std::uint32_t index = 0;
            std::uint64_t processors = 0;
            std::uint64_t memory = 0;
            std::uint64_t accelerators = 0;
            fields >> job >> index >> run.epoch >> processors >> memory >> accelerators;
            run.start = at;
            run.worker = log.worker;
            run.need = wire::Resources(processors, memory, accelerators);
            observations.runs[{log.dataCentre, job, index}].push_back(run);
            ++report.taskStarts;
        } else if (event == "task-end") {
            std::uint64_t job = 0;
            std::uint32_t index = 0;
            std::uint64_t epoch = 0;
            fields >> job >> index >> epoch;
            for (Run &run : observations.runs[{log.dataCentre, job, index}]) {
                run.end = run.epoch == epoch && run.worker == log.worker && run.end == notEnded ? at : run.end;
            }
        } else if (event == "request") {
            std::string id;
            std::string key;
            std::uint32_t busy = 0;
            fields >> id >> key >> busy;
            // The id that callers see lacks the attempt's number.
            observations.requestIds.insert(id.substr(0, id.find('.')));
            observations.runsByKey[key] += key == "0" ? 0 : 1;
            ++report.requests;
            if (busy > log.slots) {
                report.violations.push_back(absl::StrCat(log.worker, " had ", busy, " concurrent requests, more than its ", log.slots, " slots"));
            }
        }
        const bool isNewWork = event == "task-start" || event == "request";
        if (isNewWork && drainedAt != notEnded && at > drainedAt + drainGraceMicros) {
            report.violations.push_back(absl::StrCat(log.worker, " received new work ", (at - drainedAt) / 1000, " ms after it announced its drain"));
        }
    }
}

void checkConcurrentRuns(const Observations &observations, CheckReport &report)
{
    for (const auto &[task, runs] : observations.runs) {
        std::vector<Run> sorted = runs;
        std::sort(sorted.begin(), sorted.end(), [](const Run &left, const Run &right) { return left.start < right.start; });
        for (std::size_t index = 1; index < sorted.size(); ++index) {
            if (sorted[index].start < sorted[index - 1].end) {
                report.violations.push_back(absl::StrCat("task ",
                                                         std::get<1>(task),
                                                         "/",
                                                         std::get<2>(task),
                                                         " of ",
                                                         std::get<0>(task),
                                                         " ran on ",
                                                         sorted[index - 1].worker,
                                                         " and ",
                                                         sorted[index].worker,
                                                         " at the same time"));
            }
        }
    }
}

void checkCapacity(const WorkerLog &log, const Observations &observations, CheckReport &report)
{
    // At the same time, ends sort before starts: a run may begin when the capacity it needs is released.
    std::vector<std::tuple<std::int64_t, bool, wire::Resources>> changes;
    for (const auto &[task, runs] : observations.runs) {
        for (const Run &run : runs) {
            if (run.worker == log.worker) {
                changes.emplace_back(run.start, true, run.need);
                changes.emplace_back(run.end, false, run.need);
            }
        }
    }
    std::sort(changes.begin(), changes.end(), [](const auto &left, const auto &right) {
        return std::make_pair(std::get<0>(left), std::get<1>(left)) < std::make_pair(std::get<0>(right), std::get<1>(right));
    });
    wire::Resources used;
    for (const auto &[at, isStart, need] : changes) {
        used = isStart ? ledger::plus(used, need) : ledger::minus(used, need);
        if (!ledger::fits(used, log.capacity)) {
            report.violations.push_back(absl::StrCat(log.worker, " ran tasks beyond its capacity"));
            return;
        }
    }
}

} // namespace

CheckReport checkLogs(const std::vector<WorkerLog> &logs, const std::vector<std::string> &notRunIds)
{
    CheckReport report;
    Observations observations;
    for (const WorkerLog &log : logs) {
        readLog(log, observations, report);
    }
    checkConcurrentRuns(observations, report);
    for (const WorkerLog &log : logs) {
        checkCapacity(log, observations, report);
    }
    for (const auto &[key, count] : observations.runsByKey) {
        if (count > 1) {
            report.violations.push_back(absl::StrCat("the request with key ", key, " ran ", count, " times"));
        }
    }
    for (const std::string &id : notRunIds) {
        if (observations.requestIds.contains(id)) {
            report.violations.push_back(absl::StrCat("request ", id, " was answered not-run but appears in a worker's log"));
        }
    }
    return report;
}

} // namespace paddlepier::testing
