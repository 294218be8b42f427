// A minion leaves; the confirmation of its last call is lost on its way, unless TROUBLE is 0.
//
// Usage: withdrawal RECORD. Exit status: 1 if a task ran twice at the same time, 0 if not, 2 if the case couldn't run.

#include "cell.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace
{

using namespace review;

constexpr const char *submissionId = "00000000000000b1";
constexpr double stepSeconds = 0.05;
constexpr int drainSeconds = 2;

/** Two runs that overlap for less than this may be explained by the order in which the stand-ins' threads write their lines. */
constexpr double minOverlapSeconds = 0.1;

void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

bool waitUntilRunning(Minion &minion, double seconds)
{
    for (double waited = 0; waited < seconds; waited += stepSeconds) {
        if (minion.isRunning()) {
            return true;
        }
        sleepSeconds(stepSeconds);
    }
    return false;
}

int run(const std::string &recordPath, bool hasTrouble)
{
    Record record(recordPath);
    Cell cell(1, record);
    if (!cell.start()) {
        return 2;
    }
    const Control control = cell.control();
    // Between the leaving minion and a core: passes the request on, and loses the answer.
    Server proxy(cell.freeHost(), control.port, [&](const Message &request) {
        const Answer answer = call(control.hosts[2], control.port, {request.method, request.path, {}, request.body}, 1000);
        record.write("core answers " + std::to_string(answer.status) + " to " + request.method + (hasTrouble ? "; the answer is lost" : ""));
        return hasTrouble ? Answer() : answer;
    });
    const std::unique_ptr<Minion> leaving = cell.addMinion("i-leaving");
    sleepSeconds(3);
    // One task of 15 s that saves no checkpoints.
    const std::string body = R"({"task_spec":"15000","steps":[{"count":1,"cpu":1000,"requested_memory_mb":256,"estimated_ms":15000}]})";
    if (cell.submission(0, "POST", submissionId, body, 3000).status != 200 || !waitUntilRunning(*leaving, 10)) {
        return 2;
    }
    const std::unique_ptr<Minion> staying = cell.addMinion("i-staying");
    sleepSeconds(3);
    leaving->drain();
    record.write("i-leaving has the confirmation that it drains");
    sleepSeconds(drainSeconds + 0.3);
    leaving->withdraw(cell.freeHost());
    const bool isTakenOver = waitUntilRunning(*staying, 5);
    sleepSeconds(1);
    if (!isTakenOver || !cell.isWhole()) {
        return 2;
    }
    bool isBroken = false;
    for (const Minion::Span &first : leaving->spans()) {
        for (const Minion::Span &second : staying->spans()) {
            const double overlap = std::min(first.end, second.end) - std::max(first.begin, second.begin);
            if (first.task == second.task && overlap > minOverlapSeconds) {
                record.write("TWICE: runs " + std::to_string(first.run) + " and " + std::to_string(second.run) + " of " + first.task
                             + " at the same time for s: " + std::to_string(overlap));
                isBroken = true;
            }
        }
    }
    record.write(isBroken ? "the rule is broken" : "the rule held");
    return isBroken ? 1 : 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 2) {
        std::cerr << "usage: withdrawal RECORD\n";
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
