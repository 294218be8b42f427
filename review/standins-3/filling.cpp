// Three tasks that last and fill share a minion with one that serves, and disturb it for some seconds. With TROUBLE=0 they never disturb it.
//
// Usage: filling RECORD. Exit status: 1 if more of the tasks that fill were ended than may be missed, 0 if not, 2 if the case couldn't run.

#include "cell.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace
{

using namespace review;

constexpr const char *servingId = "00000000000000c1";
constexpr const char *fillingId = "00000000000000c2";
constexpr std::size_t fillingTasks = 3;
constexpr std::size_t mayMiss = 1;
constexpr double pressedSeconds = 6;
constexpr double startupSeconds = 1.0; // twice that of the stand-in

void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::size_t countRunning(const std::vector<Minion::Span> &spans, double at)
{
    std::size_t count = 0;
    for (const Minion::Span &span : spans) {
        count += span.begin <= at && span.end > at ? 1 : 0;
    }
    return count;
}

/** Number of other tasks of the step of @p stopped that an order has ended, and that hadn't begun again when it was ended. */
std::size_t countAway(const std::vector<Minion::Span> &spans, const Minion::Span &stopped)
{
    std::size_t away = 0;
    for (std::size_t index = 0; index < fillingTasks; ++index) {
        const std::string task = std::string(fillingId) + ".0.0." + std::to_string(index);
        bool isAway = false;
        for (const Minion::Span &span : spans) {
            if (span.task == task && span.begin < stopped.end) {
                isAway = span.end < stopped.end && span.how == "stopped";
            }
        }
        away += task != stopped.task && isAway ? 1 : 0;
    }
    return away;
}

int run(const std::string &recordPath, bool hasTrouble)
{
    Record record(recordPath);
    Cell cell(1, record);
    if (!cell.start()) {
        return 2;
    }
    const std::unique_ptr<Minion> minion = cell.addMinion("i-1");
    minion->setTail(30, 0);
    sleepSeconds(3);
    const std::string serving =
        R"({"task_spec":"0 serves","steps":[{"count":1,"cpu":4000,"requested_memory_mb":256,"estimated_ms":500,"long_running":true,"image":"a","target_ms":100}]})";
    const std::string filling =
        R"({"task_spec":"0 fills","steps":[{"count":3,"cpu":2000,"requested_memory_mb":256,"estimated_ms":500,"long_running":true,"image":"b","fills":true,"may_miss":1}]})";
    if (cell.submission(0, "POST", servingId, serving, 3000).status != 200 || cell.submission(0, "POST", fillingId, filling, 3000).status != 200) {
        return 2;
    }
    sleepSeconds(6);
    if (countRunning(minion->spans(), record.seconds()) != 1 + fillingTasks) {
        return 2;
    }
    if (hasTrouble) {
        // Under its target (100 ms) alone, and over it beside any task that fills.
        minion->setTail(90, 60);
        record.write("the tail of the task that serves: 90 ms alone, 60 ms more for each task that fills; its target is 100 ms");
    }
    sleepSeconds(pressedSeconds);
    minion->setTail(30, 0);
    sleepSeconds(3);
    if (!cell.isWhole()) {
        return 2;
    }
    bool isBroken = false;
    const std::vector<Minion::Span> spans = minion->spans();
    for (const Minion::Span &span : spans) {
        const bool wasAtWork = span.end - span.begin > startupSeconds;
        const std::size_t away = span.how == "stopped" && wasAtWork ? countAway(spans, span) : 0;
        if (away >= mayMiss) {
            record.write("AVAIL: " + span.task + " run " + std::to_string(span.run)
                         + " was ended by a stop while others of its step were away: " + std::to_string(away));
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
        std::cerr << "usage: filling RECORD\n";
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
