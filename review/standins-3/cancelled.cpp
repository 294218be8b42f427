// A client hands a submission in at an entry that stands still, leaves and cancels it through another entry. With TROUBLE=0 nothing stands
// still.
//
// Usage: cancelled RECORD. Exit status: 1 if a task starts or runs on too late after the confirmed cancelling, 0 if not, 2 if the case
// couldn't run.

#include "cell.h"

#include <signal.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace
{

using namespace review;

constexpr const char *submissionId = "00000000000000b2";
constexpr double cancelSeconds = 3.0; // `cancel_ms`
constexpr double freezeSeconds = 4.0;
constexpr int patienceMillis = 200;
constexpr double observedSeconds = 10;

void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

int run(const std::string &recordPath, bool hasTrouble)
{
    Record record(recordPath);
    Cell cell(2, record);
    if (!cell.start()) {
        return 2;
    }
    const std::unique_ptr<Minion> minion = cell.addMinion("i-1");
    sleepSeconds(4);
    const double begin = record.seconds();
    if (hasTrouble) {
        cell.signalEntry(0, SIGSTOP);
        record.write("entry 1 stands still");
    }
    // One task that lasts until its submission is cancelled.
    const std::string body = R"({"task_spec":"0","steps":[{"count":1,"cpu":1000,"requested_memory_mb":256,"estimated_ms":500,"long_running":true}]})";
    const int posted = cell.submission(0, "POST", submissionId, body, patienceMillis).status;
    const int cancelled = cell.submission(1, "DELETE", submissionId, "", 3000).status;
    const double cancelledAt = record.seconds();
    const bool isAsExpected = hasTrouble ? posted == 0 && (cancelled == 200 || cancelled == 410) : posted == 200 && cancelled == 200;
    sleepSeconds(begin + freezeSeconds - record.seconds());
    if (hasTrouble) {
        cell.signalEntry(0, SIGCONT);
        record.write("entry 1 goes on");
    }
    if (!isAsExpected) {
        return 2;
    }
    sleepSeconds(observedSeconds);
    cell.submission(1, "GET", submissionId, "", 3000);
    if (!cell.isWhole()) {
        return 2;
    }
    bool isBroken = false;
    for (const Minion::Span &span : minion->spans()) {
        if (span.begin > cancelledAt + cancelSeconds) {
            record.write("UNASKED: " + span.task + " started after the confirmed cancelling by s: " + std::to_string(span.begin - cancelledAt));
            isBroken = true;
        }
    }
    record.write(isBroken ? "the rule is broken" : "the rule held");
    return isBroken ? 1 : 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 2) {
        std::cerr << "usage: cancelled RECORD\n";
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
