// Stand-ins for the review's cases: the platform that starts the project's programs, workers, and calls of clients and operators.
//
// A Cell starts three cores and some entries of target/paddlepier as separate processes, with the commands of the deploy file and with
// settings like those of the site palchi-sched, each on a loopback address of its own. A Worker follows the users' PROTOCOL.md: fencing tokens,
// leases on its own clock, numbered ends, and heartbeats to any core. Everything that is sent, answered and run goes to a record.
//
// Thread safety: Record and Worker from any thread; Cell from one thread.

#ifndef PADDLEPIER_REVIEW_CELL_H
#define PADDLEPIER_REVIEW_CELL_H

#include "paddlepier/http/httpclient.h"
#include "paddlepier/http/httpserver.h"

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace paddlepier::review
{

/** Exit statuses of a case. */
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/** Milliseconds of this process' steady clock, since its start. */
std::int64_t millisNow();
void sleepMillis(std::int64_t millis);
/** Unless the variable TROUBLE is 0, the case includes its disruption. */
bool hasTrouble();

class Record
{
public:
    explicit Record(const std::string &path);
    void write(const std::string &line);

private:
    absl::Mutex mutex;
    std::ofstream file;
};

/** One answer of the system; status 0 if none came in time. */
struct Answer {
    int status = 0;
    std::string body;
};

/** Sends one request to @p address, as a client or operator would, and records it with its answer. */
Answer call(Record &record,
            const std::string &address,
            const std::string &method,
            const std::string &path,
            const std::string &host,
            const std::string &body,
            std::int64_t timeoutMillis);

struct Route {
    std::string name;
    std::string host;
    std::string prefix;
};

std::string configurationText(std::uint64_t version, const std::vector<Route> &routes, const std::string &service);
/** A submission of one task. @param requiredLabel  that its worker must have; empty for none */
std::string submissionText(const std::string &payload, const std::string &requiredLabel = "");

class Cell
{
public:
    Cell(Record &caseRecord, std::size_t entryCount);
    ~Cell();

    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    void start();
    /** Restarts processes that have ended by themselves, half a second later, as the platform does. */
    void supervise();
    /** Supervises for this time. */
    void run(std::int64_t millis);
    /** Waits until a core acknowledges @p configuration. @return false if none does in time */
    bool configure(const std::string &configuration, std::int64_t timeoutMillis);
    /** Sends an operator's call to one core after the other until one answers with another status than 0 or 5xx. */
    Answer callControl(const std::string &method, const std::string &path, const std::string &body, std::int64_t timeoutMillis);
    bool isReady(std::size_t entry);

    std::string front(std::size_t entry) const;
    std::string control(std::size_t core) const;
    std::string address(std::size_t number) const;
    void freezeEntry(std::size_t entry);
    void thawEntry(std::size_t entry);
    /** How many processes have ended by themselves. */
    std::size_t ownEnds() const;

private:
    struct Node {
        std::string name;
        std::string ip;
        std::string zone;
        bool isCore = false;
        bool hasRun = false;
        pid_t pid = -1;
        std::int64_t restartAt = 0;
    };

    void startProcess(Node &node);
    void writeSettings(const Node &node) const;

    Record &record;
    std::string folder;
    std::string network;
    std::vector<Node> nodes;
    std::size_t ends = 0;
    std::size_t nextCore = 0;
};

/** One worker. A task runs for the milliseconds that its payload states. */
class Worker
{
public:
    Worker(Record &caseRecord,
           const Cell &caseCell,
           std::string workerId,
           std::string workerService,
           const std::string &workerAddress,
           std::string workerKind = "a");
    ~Worker();

    /** Crashes right after it has answered the next poll, and is silent from then on. */
    void crashAfterNextPoll();
    bool isDown();
    /** Starts again after a crash, as another boot with an id and a kind of its own, at the same address. */
    void boot(const std::string &newId, const std::string &newKind);

    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /** When the first run of a task of @p job was started, in millisNow(); -1 if none was. */
    std::int64_t startedAt(const std::string &job);
    /** Whether a run of a task of @p job is at work. */
    bool isRunning(const std::string &job);
    /** How many runs of tasks of @p job were at work when the worker crashed. Runs of this stand-in never end as failed. */
    std::size_t crashedRunsOf(const std::string &job);

private:
    struct Run {
        std::int64_t number = 0;
        std::int64_t begunAt = 0;
        std::int64_t endsAt = 0;
    };
    struct End {
        std::int64_t sequence = 0;
        std::string task;
        std::int64_t number = 0;
        std::string how;
    };
    struct Held {
        std::shared_ptr<http::Exchange> exchange;
        std::int64_t due = 0;
    };

    void loop();
    void beat();
    /** The next heartbeat, with the id of its sender; empty while none is due. */
    std::string announcement(std::string &ownId);
    void crash();
    void handle(const std::shared_ptr<http::Exchange> &exchange);
    void handleOrder(const std::shared_ptr<http::Exchange> &exchange, const nlohmann::json &order);
    std::string start(const nlohmann::json &order);
    void end(const std::string &task, const std::string &how);
    nlohmann::json lists() const;

    Record &record;
    const Cell &cell;
    const std::string service;
    const std::string address;
    absl::Mutex mutex;
    std::string id;
    std::string kind;
    bool crashesAfterPoll = false;
    bool isSilent = false;
    std::int64_t nextBeat = 0;
    /** Requests that arrived while the worker was down; they get no answer. */
    std::vector<std::shared_ptr<http::Exchange>> unanswered;
    std::map<std::string, std::size_t> crashedRuns;
    std::map<std::string, Run> runs;
    /** The highest run of each task that was stopped or has ended. */
    std::map<std::string, std::int64_t> highestEnded;
    std::map<std::string, std::int64_t> firstStarts;
    std::vector<End> ends;
    std::vector<Held> held;
    std::int64_t lastSequence = 0;
    std::int64_t deadline = 0;
    std::uint64_t fence = 0;
    std::uint64_t beats = 0;
    std::unique_ptr<http::HttpServer> server;
    std::atomic<bool> stopping{false};
    std::thread thread;
    std::thread beatThread;
};

} // namespace paddlepier::review

#endif
