// Case: a configuration gives a queue another name; its accepted submissions are then answered 410.

#include "review/standins/cell.h"

#include <absl/strings/str_cat.h>

#include <iostream>

using namespace paddlepier::review;

namespace
{

constexpr const char *host = "nony24.example";
constexpr const char *prefix = "/lohu930/";
constexpr const char *service = "huvo11a";
constexpr const char *job = "5c0e7a21d94b36f8";
/** How long the submission's task runs: longer than all that the case asks. */
constexpr const char *payload = "20000";
constexpr std::int64_t budgetMillis = 3000;
/** bounds.visible_ms and bounds.config_apply_ms of the site, and the time for which the state is asked after them. */
constexpr std::int64_t visibleMillis = 3000;
constexpr std::int64_t applyMillis = 2000;
constexpr std::int64_t askedMillis = 6000;

int runCase(Record &record)
{
    constexpr std::size_t entries = 2;
    constexpr std::int64_t startMillis = 20'000;
    Cell cell(record, entries);
    cell.start();
    if (!cell.configure(configurationText(3, {{"r-3hwrr6x", host, prefix}}, service), startMillis)) {
        return couldNotRun;
    }
    Worker worker(record, cell, "i-7f3a91c2", service, cell.address(20));
    cell.run(3000);
    if (!cell.isReady(0) || !cell.isReady(1)) {
        return couldNotRun;
    }
    const std::string path = absl::StrCat(prefix, job);
    if (call(record, cell.front(0), "POST", path, host, submissionText(payload), budgetMillis).status != 200) {
        return couldNotRun;
    }
    cell.run(visibleMillis);
    if (call(record, cell.front(1), "GET", path, host, "", budgetMillis).status != 200 || !worker.isRunning(job)) {
        return couldNotRun;
    }
    if (hasTrouble()) {
        record.write("DISRUPTION: config change, another route takes the place of the first");
        if (!cell.configure(configurationText(7, {{"r-9n73hh2", host, prefix}}, service), startMillis)) {
            return couldNotRun;
        }
    }
    cell.run(applyMillis);
    std::size_t unknown = 0;
    for (const std::int64_t end = millisNow() + askedMillis; millisNow() < end;) {
        for (std::size_t entry = 0; entry < entries; ++entry) {
            unknown += call(record, cell.front(entry), "GET", path, host, "", budgetMillis).status == 410 ? 1 : 0;
        }
        cell.run(500);
    }
    record.write(absl::StrCat("GETs answered 410: ",
                              unknown,
                              "; the worker ",
                              worker.isRunning(job) ? "still runs the task" : "no longer runs the task",
                              "; own ends: ",
                              cell.ownEnds()));
    return unknown > 0 ? ruleBroken : ruleHeld;
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
