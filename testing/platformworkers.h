// Stand-ins for the platform's workers, over HTTP: each announces itself and follows the rules for runs, leases and fencing
// tokens (paddlepier/execution/fakeworkers.h), or has one defined fault.
//
// A seat is an address at which one incarnation of a worker succeeds another. Each incarnation has a new id or, where the seat keeps its
// id, the same id and a different time of birth.
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

enum class WorkerFault {
    None,
    /** Executes orders immediately, and answers after up to a second and a half. */
    DelayedAnswers,
    /** Executes orders immediately; the answers arrive after every caller has timed out. */
    LostAnswers,
    /** Executes orders up to three seconds late, so that newer orders often overtake older ones. */
    DelayedOrders
};

class PlatformWorkers
{
public:
    /** @param controlAddress returns the address for each call of a worker; it is called on the thread of this object */
    PlatformWorkers(std::function<std::string()> controlAddress, execution::FakeWorkers::Lookup lookup, std::uint64_t seed = 1);
    ~PlatformWorkers();

    PlatformWorkers(const PlatformWorkers &) = delete;
    PlatformWorkers &operator=(const PlatformWorkers &) = delete;

    /** Starts the first incarnation at a seat. */
    void add(const std::string &seat, const Endpoint &address, bool keepsId = false);
    void revive(const std::string &seat);
    /** Ends the incarnation at a seat. If @p heartbeatLag is given, a heartbeat that it had sent arrives this much later. */
    void crash(const std::string &seat, std::optional<Duration> heartbeatLag);
    /** The incarnation announces that it drains; it ends two seconds after the acknowledgement, or after six seconds without one. */
    void drain(const std::string &seat);
    void setFault(const std::string &seat, WorkerFault fault);
    /** Announces another capacity from now on. A smaller one is enforced on starts once every leader must have learnt of it. */
    void setCapacity(const std::string &seat, std::uint32_t milliProcessors);
    bool isUp(const std::string &seat);

    /** Runs @p action on the state of all workers, with the lock held. */
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
        WorkerFault fault = WorkerFault::None;
        /** The announced capacity; each incarnation starts with fullCapacity. */
        std::uint32_t milliProcessors = fullCapacity;
        /** Number of calls of setCapacity(). */
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
        /** For a poll: the time until which it waits for the end of a run. */
        Timestamp due = absl::InfinitePast();
    };

    /** Rejects an order whose incarnation has ended meanwhile, so that it doesn't reach the next incarnation. */
    execution::WorkerAnswer execute(const Received &received) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void startIncarnation(Seat &seat, const std::string &name) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::unique_ptr<http::HttpServer> endIncarnation(Seat &seat) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void receive(const std::string &name, const std::shared_ptr<http::Exchange> &exchange);
    void handle(const Received &received) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void handleWithFault(WorkerFault fault, const Received &received) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void runLater(Duration minDelay, Duration maxDelay, std::function<void()> action) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void run();
    void runDueActions();
    /** Handles incarnations that a task has crashed; another one starts at the seat some time later. */
    void restartCrashed(std::vector<std::unique_ptr<http::HttpServer>> &ended) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void answerHeldPolls() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void sendDueHeartbeats() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::string announcementOf(Seat &seat) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void send(const std::string &method, const std::string &name, const workload::Incarnation &incarnation, const std::string &body, int attempts);

    const std::function<std::string()> control;
    absl::Mutex mutex;
    execution::FakeWorkers workers ABSL_GUARDED_BY(mutex);
    std::map<std::string, Seat> seats ABSL_GUARDED_BY(mutex);
    std::vector<Received> held ABSL_GUARDED_BY(mutex);
    std::multimap<Timestamp, std::function<void()>> delayed ABSL_GUARDED_BY(mutex);
    std::mt19937_64 random ABSL_GUARDED_BY(mutex);
    // Used only by the thread.
    http::TransferPool pool;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace paddlepier::testing

#endif
