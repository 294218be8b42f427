// Stand-ins of the platform's workers, over HTTP: each announces itself and keeps the rules of runs, leases and fencing
// tokens (paddlepier/execution/fakeworkers.h), or is in one stated kind of trouble.
//
// A seat is an address, at which one life of a worker follows another: under a new id each, or, where the seat keeps its id, under the
// same one, told apart by when they were born.
//
// Example:
//     PlatformWorkers workers([] { return "127.0.7.1:8161"; }, [](const auto &task) -> const auto & { return step; });
//     workers.add("w1", {"127.0.8.1", 8000});
//     workers.crash("w1", absl::Milliseconds(300));
//     workers.revive("w1");
//
// Thread safety: all methods from any thread. The lookup and the observer run with the lock held.

#ifndef PADDLEPIER_TESTING_PLATFORMWORKERS_H
#define PADDLEPIER_TESTING_PLATFORMWORKERS_H

#include "paddlepier/execution/fakeworkers.h"
#include "paddlepier/http/httpclient.h"
#include "paddlepier/http/httpserver.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace paddlepier::testing
{

enum class WorkerTrouble {
    None,
    /** Carries orders out at once, and answers after up to a second and a half. */
    AnswersLate,
    /** Carries orders out at once; the answers don't come while anyone waits for them. */
    LosesAnswers,
    /** Carries orders out up to three seconds late, newer ones often before older ones. */
    OrdersLate
};

class PlatformWorkers
{
public:
    /** @param controlAddress is asked for each call of a worker, on a thread of its own */
    PlatformWorkers(std::function<std::string()> controlAddress, execution::FakeWorkers::Lookup lookup, std::uint64_t seed = 1);
    ~PlatformWorkers();

    PlatformWorkers(const PlatformWorkers &) = delete;
    PlatformWorkers &operator=(const PlatformWorkers &) = delete;

    /** Begins the first life at a seat. */
    void add(const std::string &seat, const Endpoint &address, bool keepsId = false);
    void revive(const std::string &seat);
    /** Ends the life at a seat; a heartbeat that it had sent arrives @p heartbeatLag later, if there is one. */
    void crash(const std::string &seat, std::optional<Duration> heartbeatLag);
    /** The life says that it leaves; it ends two seconds after this was acknowledged, or after six. */
    void drain(const std::string &seat);
    void setTrouble(const std::string &seat, WorkerTrouble trouble);
    /** Announces another room from now on; starts are held to a smaller one once leaders must have heard of it. */
    void setCapacity(const std::string &seat, std::uint32_t milliProcessors);
    bool isUp(const std::string &seat);

    /** Does something with the state of all workers. */
    void inspect(const std::function<void(execution::FakeWorkers &)> &action);
    std::vector<std::string> violations();

    static constexpr std::uint32_t fullCapacity = 4000;

private:
    struct Seat {
        Endpoint address;
        bool keepsId = false;
        workload::Incarnation incarnation;
        std::uint32_t incarnations = 0;
        std::uint64_t sequence = 0;
        WorkerTrouble trouble = WorkerTrouble::None;
        /** As it announces it; each life begins with the whole of it. */
        std::uint32_t milliProcessors = fullCapacity;
        /** How often it has announced another room. */
        std::uint32_t capacityChanges = 0;
        Timestamp nextHeartbeat = absl::InfinitePast();
        bool isDraining = false;
        Timestamp leavesAt = absl::InfiniteFuture();
        std::unique_ptr<http::HttpServer> server;
    };

    struct Received {
        workload::Incarnation incarnation;
        execution::WorkerCall call;
        std::shared_ptr<http::Exchange> exchange;
        /** Of a poll: until when it waits for an end. */
        Timestamp due = absl::InfinitePast();
    };

    /** An order that comes to be carried out later finds its life over; nothing of it reaches the next one. */
    execution::WorkerAnswer execute(const Received &received) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void begin(Seat &seat, const std::string &name) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::unique_ptr<http::HttpServer> end(Seat &seat) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void receive(const std::string &name, const std::shared_ptr<http::Exchange> &exchange);
    void handle(const Received &received) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void handleInTrouble(WorkerTrouble trouble, const Received &received) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void later(Duration least, Duration most, std::function<void()> action) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void run();
    void runDueActions();
    /** Lives that a task has taken down; another one begins at the seat some time later. */
    void endCrashed(std::vector<std::unique_ptr<http::HttpServer>> &ended) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void answerHeld() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void announceDue() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::string announcementOf(Seat &seat) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void send(const std::string &method, const std::string &name, const workload::Incarnation &life, const std::string &body, int tries);

    const std::function<std::string()> control;
    absl::Mutex mutex;
    execution::FakeWorkers workers ABSL_GUARDED_BY(mutex);
    std::map<std::string, Seat> seats ABSL_GUARDED_BY(mutex);
    std::vector<Received> held ABSL_GUARDED_BY(mutex);
    std::multimap<Timestamp, std::function<void()>> delayed ABSL_GUARDED_BY(mutex);
    std::mt19937_64 random ABSL_GUARDED_BY(mutex);
    // Used by the thread alone.
    http::TransferPool pool;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace paddlepier::testing

#endif
