// Stand-in for a backend server: announces itself, runs simulated tasks under leases and serves quick requests.
//
// It follows docs/PROTOCOL.md, or violates it in one defined way (`Fault`). It logs each event as a line of text, from which
// testing/checker.h detects violations of the scheduler's guarantees:
//
//     MICROS task-start JOB INDEX EPOCH MILLIPROCESSORS MEMORY ACCELERATORS
//     MICROS task-end JOB INDEX EPOCH
//     MICROS request ID KEY BUSY-SLOTS
//     MICROS drain
//
// MICROS is the machine's monotonic clock, which all processes share.
// Thread safety: all methods may be called from any thread.

#ifndef PADDLEPIER_TESTING_WORKER_H
#define PADDLEPIER_TESTING_WORKER_H

#include "paddlepier/http/httpclient.h"
#include "paddlepier/http/httpserver.h"
#include "paddlepier/settings/settings.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <fstream>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <thread>
#include <vector>

namespace paddlepier::testing
{

/** How the stand-in misbehaves: it cuts responses short, sends the id of another request, answers after 30 s, fails everything, or answers twice. */
enum class Fault { None, Truncate, WrongId, Stall, FailEverything, Doubled };

/** @throws InvalidArgumentError for an unknown name */
Fault faultFromName(const std::string &name);

struct WorkerOptions {
    std::string name;
    std::string partner;
    std::string dataCentre;
    std::string rack = "r1";
    std::string token;
    Endpoint address;
    std::vector<std::string> entries;
    wire::Resources capacity{16000, 32768, 0};
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::string logPath;
    Fault fault = Fault::None;
    /** Time from start to drain; infinite: never drains. */
    Duration drainAfter = absl::InfiniteDuration();
};

std::int64_t monotonicMicros();

class StandinWorker
{
public:
    explicit StandinWorker(WorkerOptions workerOptions);
    ~StandinWorker();

    StandinWorker(const StandinWorker &) = delete;
    StandinWorker &operator=(const StandinWorker &) = delete;

    void drain();

private:
    using TaskKey = std::pair<std::uint64_t, std::uint32_t>;
    struct Task {
        std::uint64_t epoch = 0;
        Timestamp end;
        wire::AttemptOutcome outcome = wire::AttemptOutcome::Succeeded;
    };
    struct DelayedAnswer {
        Timestamp due;
        std::shared_ptr<http::Exchange> exchange;
        http::Response answer;
        bool operator<(const DelayedAnswer &other) const
        {
            return this->due > other.due;
        }
    };

    void run();
    void announce();
    void handleAnswer(std::uint64_t announced, std::int64_t sentClock, const http::TransferResult &result);
    wire::AnnounceRequestT describe();
    void handleReply(const wire::AnnounceReplyT &reply, std::int64_t sentClock);
    void endDueTasks();
    void startTask(const wire::AssignmentT &assignment);
    void stopTask(const TaskKey &key);
    void serve(const std::shared_ptr<http::Exchange> &exchange);
    void sendDueAnswers();
    void serveRaw();
    void writeLog(const std::string &line);

    const WorkerOptions options;
    absl::Mutex mutex;
    std::ofstream log ABSL_GUARDED_BY(mutex);
    std::map<TaskKey, Task> running ABSL_GUARDED_BY(mutex);
    std::vector<wire::FinishedAttemptT> finished ABSL_GUARDED_BY(mutex);
    std::priority_queue<DelayedAnswer> delayed ABSL_GUARDED_BY(mutex);
    std::uint32_t busy ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    std::uint64_t replySequence = 0;
    std::int64_t leaseEndClock = 0;
    std::size_t nextEntry = 0;
    http::TransferPool pool;
    Timestamp nextAnnouncement = absl::InfinitePast();
    Timestamp announceDeadline = absl::InfinitePast();
    bool isAnnouncementInFlight = false;
    /** Whether a task or the draining state has changed since the last announcement. */
    bool hasUnreportedChange = false;
    std::atomic<bool> draining{false};
    std::atomic<bool> stopping{false};
    int rawListener = -1;
    std::unique_ptr<http::HttpServer> server;
    std::thread announcer;
    std::thread serving;
};

} // namespace paddlepier::testing

#endif
