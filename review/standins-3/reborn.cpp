// Three times the minion that runs a task is cut off, ends the run as done behind the cut, crashes there some time later and starts again. With
// TROUBLE=0 none is cut off and none crashes.
//
// Usage: reborn RECORD. Exit status: 1 if the submission is shown as failed, 0 if it is completed, 2 if the case couldn't run.

#include "cell.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace
{

using namespace review;

constexpr const char *submissionId = "00000000000000d1";
constexpr int minionCount = 6;
constexpr int cuts = 3;
constexpr double cutAfterStartSeconds = 0.15;
constexpr double crashAfterCutSeconds = 2.0;
constexpr double cutSeconds = 5.5;
constexpr double stepSeconds = 0.01;
constexpr double lookSeconds = 2;

void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

int run(const std::string &recordPath, bool hasTrouble)
{
    Record record(recordPath);
    Cell cell(1, record);
    if (!cell.start()) {
        return 2;
    }
    std::vector<std::unique_ptr<Minion>> minions;
    std::vector<std::unique_ptr<Minion>> crashed;
    for (int seat = 1; seat <= minionCount; ++seat) {
        minions.push_back(cell.addMinion("i-" + std::to_string(seat)));
    }
    sleepSeconds(4);
    // One task of 0.8 s.
    const std::string body = R"({"task_spec":"800","steps":[{"count":1,"cpu":1000,"requested_memory_mb":256,"estimated_ms":800}]})";
    if (cell.submission(0, "POST", submissionId, body, 3000).status != 200) {
        return 2;
    }
    int cut = 0;
    double nextLook = 0;
    std::string state;
    while (record.seconds() < 60 && state.find("completed") == std::string::npos && state.find("failed") == std::string::npos) {
        for (int seat = 1; hasTrouble && cut < cuts && seat <= minionCount; ++seat) {
            std::unique_ptr<Minion> &minion = minions[static_cast<std::size_t>(seat - 1)];
            if (!minion->isRunning()) {
                continue;
            }
            ++cut;
            sleepSeconds(cutAfterStartSeconds);
            minion->setCut(true);
            sleepSeconds(crashAfterCutSeconds);
            record.write("its process crashes behind the cut and starts again");
            minion->crash();
            sleepSeconds(cutSeconds - crashAfterCutSeconds);
            record.write("the cut is over");
            minion->end();
            crashed.push_back(std::move(minion));
            minion = cell.restartMinion("i-" + std::to_string(seat) + "-" + std::to_string(cut), seat);
        }
        sleepSeconds(stepSeconds);
        if (record.seconds() >= nextLook) {
            nextLook = record.seconds() + lookSeconds;
            state = cell.submission(0, "GET", submissionId, "", 3000).body;
        }
    }
    if (!cell.isWhole()) {
        return 2;
    }
    // A task under which two minions have crashed may be given up.
    std::size_t crashedUnder = 0;
    for (const std::vector<std::unique_ptr<Minion>> *group : {&minions, &crashed}) {
        for (const std::unique_ptr<Minion> &minion : *group) {
            for (const Minion::Span &span : minion->spans()) {
                crashedUnder += span.how != "done" ? 1 : 0;
            }
        }
    }
    const bool isBroken = state.find("failed") != std::string::npos && crashedUnder < 2;
    const bool isCompleted = state.find("completed") != std::string::npos;
    if (!isBroken && !isCompleted) {
        return 2;
    }
    record.write(isBroken ? "LOST: shown as failed; runs that didn't end as done: " + std::to_string(crashedUnder) + "; the rule is broken" : "the rule held");
    return isBroken ? 1 : 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 2) {
        std::cerr << "usage: reborn RECORD\n";
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
