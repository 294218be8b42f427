// Case: three workers crash, one after the other, each before a start of a submission's task reaches it; the submission is shown as failed.

#include "review/standins/cell.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <iostream>
#include <memory>
#include <vector>

using namespace paddlepier::review;

namespace
{

constexpr const char *host = "nony24.example";
constexpr const char *prefix = "/lohu930/";
constexpr const char *service = "huvo11a";
constexpr const char *job = "5c0e7a21d94b36f8";
constexpr const char *payload = "1000";
constexpr std::int64_t budgetMillis = 3000;
/** A worker is down for 4.5 s at most, as in the site's `srv_crash`. It crashes after a poll, and one comes every two seconds. */
constexpr std::int64_t downMillis = 2300;
constexpr std::int64_t pollMillis = 2200;
/** The task needs a worker of kind b; a worker that starts again is of kind a. */
constexpr const char *neededKind = "b";
constexpr const char *otherKind = "a";
/** With these, one worker that is down is 0.125 of all, under the 0.14 of the site's `srv_crash`. */
constexpr std::size_t otherWorkers = 7;
constexpr std::int64_t observedMillis = 8000;

/** Number of the first worker's address. */
constexpr std::size_t firstAddress = 20;

using Workers = std::array<std::unique_ptr<Worker>, 4>;

/** The worker crashes after its next answer to a poll; without trouble, only the time passes. @return false if there is no poll */
bool crash(Cell &cell, Worker &worker)
{
    if (!hasTrouble()) {
        cell.run(pollMillis);
        return true;
    }
    worker.crashAfterNextPoll();
    for (const std::int64_t end = millisNow() + 2 * pollMillis; millisNow() < end && !worker.isDown();) {
        sleepMillis(1);
    }
    cell.supervise();
    return worker.isDown();
}

bool submitAndLoseWorkers(Record &record, Cell &cell, Workers &workers, const std::string &path)
{
    const auto add = [&](std::size_t number) {
        workers.at(number) =
            std::make_unique<Worker>(record, cell, absl::StrCat("i-7f3a91c", number), service, cell.address(firstAddress + otherWorkers + number), neededKind);
    };
    if (!crash(cell, *workers[0])) {
        return false;
    }
    if (call(record, cell.front(0), "POST", path, host, submissionText(payload, neededKind), budgetMillis).status != 200) {
        return false;
    }
    for (std::size_t number = 0; number < 3; ++number) {
        if (number < 2) {
            // An empty worker is added: the only place for the task once the worker that is down is known to be gone.
            add(number + 1);
        }
        cell.run(downMillis);
        if (number < 2 && !crash(cell, *workers.at(number + 1))) {
            return false;
        }
        if (hasTrouble()) {
            workers.at(number)->boot(absl::StrCat("i-8e4b02d", number), otherKind);
        }
    }
    // From here on, nothing disturbs, and a worker has room.
    add(3);
    return true;
}

int runCase(Record &record)
{
    constexpr std::int64_t startMillis = 20'000;
    Cell cell(record, 2);
    cell.start();
    if (!cell.configure(configurationText(3, {{"r-3hwrr6x", host, prefix}}, service), startMillis)) {
        return couldNotRun;
    }
    std::vector<std::unique_ptr<Worker>> others;
    for (std::size_t number = 0; number < otherWorkers; ++number) {
        others.push_back(std::make_unique<Worker>(record, cell, absl::StrCat("i-141e80", number), service, cell.address(firstAddress + number), otherKind));
    }
    Workers workers;
    workers[0] = std::make_unique<Worker>(record, cell, "i-7f3a91c0", service, cell.address(firstAddress + otherWorkers), neededKind);
    cell.run(4000);
    if (!cell.isReady(0) || !cell.isReady(1)) {
        return couldNotRun;
    }
    const std::string path = absl::StrCat(prefix, job);
    if (!submitAndLoseWorkers(record, cell, workers, path)) {
        return couldNotRun;
    }
    cell.run(observedMillis);
    const Answer state = call(record, cell.front(1), "GET", path, host, "", budgetMillis);
    std::size_t crashedRuns = 0;
    std::size_t starts = 0;
    for (const std::unique_ptr<Worker> &worker : workers) {
        crashedRuns += worker ? worker->crashedRunsOf(job) : 0;
        starts += worker && worker->startedAt(job) >= 0 ? 1 : 0;
    }
    // A task under which two minions have crashed may be given up; only ends as failed count as attempts, and no run ends so here.
    const bool isBroken = absl::StrContains(state.body, "\"failed\"") && crashedRuns < 2;
    record.write(absl::StrCat(
        "state: ", state.body, "; workers that started the task: ", starts, "; workers that crashed under it: ", crashedRuns, "; own ends: ", cell.ownEnds()));
    const bool isDone = absl::StrContains(state.body, "\"completed\"");
    if (state.status != 200 || (!hasTrouble() && !isBroken && !isDone)) {
        return couldNotRun;
    }
    return isBroken ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    try {
        Record record(argumentCount > 1 ? arguments[1] : "record.txt");
        const int result = runCase(record);
        record.write(absl::StrCat("result: ", result));
        return result;
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return couldNotRun;
    }
}
