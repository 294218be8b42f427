// Case: one submission that can never be done ends every process of the core, again at each start; what was accepted is gone.

#include "review/standins/cell.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <iostream>

using namespace paddlepier::review;

namespace
{

constexpr const char *host = "nony24.example";
constexpr const char *prefix = "/lohu930/";
constexpr const char *service = "huvo11a";
constexpr const char *job = "5c0e7a21d94b36f8";
constexpr const char *poisonJob = "00000000000000ff";
constexpr const char *payload = "1000";
constexpr std::int64_t budgetMillis = 3000;
/** How long the core is given afterwards; bounds.recovery_s is 12. */
constexpr std::int64_t observedMillis = 30'000;

/** Four steps of 2^31 tasks each, 2^31 times: 2^64 tasks. Without trouble: one step of 30,000 tasks, which is too many too. */
std::string poisonText()
{
    if (!hasTrouble()) {
        return submissionText(payload, 30'000, 0);
    }
    constexpr std::uint64_t many = std::uint64_t{1} << 31U;
    nlohmann::json submission = nlohmann::json::parse(submissionText(payload, many, many));
    const nlohmann::json step = submission["steps"][0];
    submission["steps"] = {step, step, step, step};
    return submission.dump();
}

int runCase(Record &record)
{
    constexpr std::int64_t startMillis = 20'000;
    Cell cell(record, 2);
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
    if (call(record, cell.front(0), "POST", path, host, submissionText(payload, 1, 0), budgetMillis).status != 200) {
        return couldNotRun;
    }
    cell.run(2000);
    if (call(record, cell.front(1), "GET", path, host, "", budgetMillis).status != 200 || cell.ownEnds() > 0) {
        return couldNotRun;
    }
    record.write("DISRUPTION: a submission that can never be done");
    call(record, cell.front(0), "POST", absl::StrCat(prefix, poisonJob), host, poisonText(), budgetMillis);
    cell.run(observedMillis);
    const Answer configuration = cell.callControl("GET", "/api/configuration", "", 6000);
    const Answer state = call(record, cell.front(1), "GET", path, host, "", budgetMillis);
    const bool isLost = configuration.status != 200 || state.status != 200;
    record.write(
        absl::StrCat("own ends of processes: ", cell.ownEnds(), "; config read back: ", configuration.status, "; accepted submission: ", state.status));
    return isLost || cell.ownEnds() > 0 ? ruleBroken : ruleHeld;
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
