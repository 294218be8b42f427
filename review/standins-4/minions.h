// Sound minions of the platform, by its pages: they announce themselves, run tasks, keep leases, fence numbers and lists of ends.
//
// Tasks of a gang work together, from the moment when all tasks of one run are present; if one ends, the others end as `broken`. A task
// saves each `checkpoint_interval_s` of work and at a stop. Each minion has an address of its own; a crashed one comes back under a new id.
//
// Thread safety: all methods from any thread.

#ifndef REVIEW_STANDINS_4_MINIONS_H
#define REVIEW_STANDINS_4_MINIONS_H

#include "system.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace review
{

/** One start that a minion has accepted. */
struct AcceptedStart {
    std::string task;
    int run = 0;
    std::string checkpoint;
    std::string minion;
};

class Minions
{
public:
    /** @param workMillis work of each task; @param gangSize tasks of the one gang; @param isLasting they are at work after half a second, and never end */
    Minions(Record &caseRecord,
            int minionPort,
            std::vector<std::string> controlHosts,
            int controlPort,
            std::int64_t workMillis,
            std::size_t gangSize,
            bool isLasting = false);
    ~Minions();

    Minions(const Minions &) = delete;
    Minions &operator=(const Minions &) = delete;

    /** The tasks work by themselves, each for the time that @p workOfTask tells; no gang. Call it before add(). */
    void setWork(std::function<std::int64_t(const std::string &task)> workOfTask, int milliProcessors);
    void add(const std::string &host);
    /** The minion ends without a word, with all that it runs. */
    void crash(const std::string &host);
    /** A new boot at the address. */
    void revive(const std::string &host);
    std::vector<AcceptedStart> starts();
    /** The address of a minion that runs a task at work; empty if there is none. */
    std::string findBusy();
    std::size_t doneTasks();
    std::size_t runningTasks();

private:
    struct Run {
        int number = 0;
        std::int64_t baseMillis = 0;
        std::string saved;
        std::int64_t startedAt = 0;
    };
    struct Ended {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        std::string saved;
    };
    struct Minion {
        std::string host;
        std::string id;
        int boots = 0;
        bool isUp = false;
        std::int64_t bootedAt = 0;
        std::int64_t sequence = 0;
        std::int64_t fence = 0;
        std::int64_t leaseEnd = 0;
        std::int64_t lastEnd = 0;
        std::map<std::string, Run> running;
        std::vector<Ended> ended;
        std::map<std::string, int> highestEnded;
        int listener = -1;
    };
    using Json = nlohmann::json;

    void serve(const std::string &host);
    void serveChannel(const std::string &host, int socket);
    /** @return status and body */
    std::pair<int, std::string> handle(const std::string &host, const std::string &path, const std::string &expectedId, const Json &body);
    Json listOf(const Minion &minion) const;
    void boot(Minion &minion);
    void endRun(Minion &minion, const std::string &task, const std::string &how);
    /** Work, saves, ends and leases up to now; with the lock held. */
    void advance();
    void announce();
    std::int64_t clockOf(const Minion &minion) const;

    Record &record;
    const int port;
    const std::vector<std::string> controls;
    const int controlPort;
    const std::int64_t work;
    const std::size_t gang;
    const bool lasts;
    std::mutex mutex;
    std::map<std::string, Minion> minions;
    std::vector<AcceptedStart> accepted;
    std::int64_t presentSince = 0;
    int presentRun = 0;
    std::size_t done = 0;
    std::function<std::int64_t(const std::string &task)> workOf;
    int capacity = 1000;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
    std::vector<std::thread> channels;
};

} // namespace review

#endif
