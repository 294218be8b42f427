// Callers and operators of one seed, each on a separate thread with choices determined by the seed.
//
// A caller keeps its connection while it is open, submits the same job again after an inconclusive answer, queries states and
// cancels jobs. Operators send configurations with irregular version steps, sometimes two at the same time, repeat older
// versions and send invalid ones. With a seed that has series, one more operator changes the configuration in quick succession,
// and every third caller keeps its connection until it is closed, whatever the answers are.
//
// Thread safety: submitUntilAccepted() and submitInCalm() may run beside the other methods; otherwise none. The destructor or
// stop() ends the internal threads.

#ifndef PADDLEPIER_TESTING_SOAK_TRAFFIC_H
#define PADDLEPIER_TESTING_SOAK_TRAFFIC_H

#include "testing/soak/cell.h"

#include <atomic>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace paddlepier::testing::soak
{

class Traffic
{
public:
    Traffic(const Cell &cell, Sizes sizes, std::uint64_t seed, Checker &checker);
    ~Traffic();

    Traffic(const Traffic &) = delete;
    Traffic &operator=(const Traffic &) = delete;

    /** Sends the first configuration until it is acknowledged. @return false if it is not acknowledged within @p timeout */
    bool configure(Duration timeout);
    void start();
    void stop();
    /**
     * Submits a job of one task, which takes @p taskTime, through one entry after the other until it is accepted.
     * @return the time that took, or nothing if it exceeds @p timeout
     */
    std::optional<Duration> submitUntilAccepted(Duration timeout, Duration taskTime = absl::Milliseconds(50));
    /** LOST: during @p time without faults, every job is accepted within a caller's timeout and one repetition. */
    void submitInCalm(Duration time);
    /** Queries the states of all jobs that have not been reported as ended. */
    void queryUnsettledJobs();
    /** Reads the configuration back from every core. @return whether all cores answered with one */
    bool readBack();

private:
    struct Caller;

    void call(Caller &caller);
    void submit(Caller &caller);
    void cancel(Caller &caller);
    void queryState(Caller &caller, const std::string &job);
    Reply send(Caller &caller, const std::string &method, const std::string &job, const std::string &body = "");
    void operate(std::uint64_t number);
    void changeInSeries();
    Reply change(std::uint64_t version, const std::string &body, std::mt19937_64 &random);

    const Cell &cell;
    const Sizes sizes;
    const std::uint64_t seed;
    Checker &checker;
    std::atomic<std::uint64_t> newestVersion{0};
    std::atomic<std::size_t> probes{0};
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
};

} // namespace paddlepier::testing::soak

#endif
