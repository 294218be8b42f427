// The whole system starts for the first time, and one core's process is killed in the first moments and restarted by the platform. With
// TROUBLE=0 none is killed.
//
// Usage: firststart RECORD. Exit status: 1 if nothing is served afterwards, 0 if all is, 2 if the case couldn't run.

#include "cell.h"

#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace
{

using namespace review;

constexpr const char *submissionId = "00000000000000b3";
constexpr double killAfterSeconds = 0.15;
constexpr double restartDelaySeconds = 0.5;

/** Three times `recovery_s` and more. */
constexpr int observedMillis = 45'000;

void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

int run(const std::string &recordPath, bool hasTrouble)
{
    Record record(recordPath);
    Cell cell(1, record);
    if (::access("target/paddlepier", X_OK) != 0) {
        return 2;
    }
    cell.launchAll();
    record.write("all machines start for the first time");
    sleepSeconds(killAfterSeconds);
    if (hasTrouble) {
        cell.killCore(0);
        record.write("core 1 is killed");
        sleepSeconds(restartDelaySeconds);
        cell.restartCore(0);
        record.write("core 1 is back, with its disk and the settings of now (first_start = false)");
    }
    const bool isConfirmed = cell.configure(observedMillis);
    const std::string body = R"({"task_spec":"0","steps":[{"count":1,"cpu":1000,"requested_memory_mb":256,"estimated_ms":500}]})";
    const bool isServed = cell.submission(0, "POST", submissionId, body, 3000).status == 200;
    if (!cell.isWhole()) {
        return 2;
    }
    record.write(isConfirmed && isServed ? "the rule held" : "no request is served: the rule is broken");
    return isConfirmed && isServed ? 0 : 1;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 2) {
        std::cerr << "usage: firststart RECORD\n";
        return 2;
    }
    const char *trouble = std::getenv("TROUBLE");
    try {
        return run(arguments[1], trouble == nullptr || std::string(trouble) != "0");
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
