// Callers and operators of one seed: each on a thread of its own, with choices that come from the seed.
//
// A caller keeps its connection while it is open, sends the same job again after an unclear answer, asks for states and
// cancels. Operators send configurations in uneven steps, at times two at once, repeat older ones and send invalid ones.
//
// Thread safety: none; the threads inside are ended with the object, or by stop().

#ifndef PADDLEPIER_TESTING_SOAK_TRAFFIC_H
#define PADDLEPIER_TESTING_SOAK_TRAFFIC_H

#include "testing/soak/cell.h"

#include <atomic>
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

    /** Sends the first configuration until it's acknowledged. @return false if it isn't within @p patience */
    bool configure(Duration patience);
    void start();
    void stop();
    /** Asks for all jobs whose end hasn't been shown. */
    void askForAll();
    /** Reads the configuration back at every core. @return whether all answered with it */
    bool readBack();

private:
    struct Caller;

    void call(Caller &caller);
    void submit(Caller &caller);
    void cancel(Caller &caller);
    void ask(Caller &caller, const std::string &job);
    Reply send(Caller &caller, const std::string &method, const std::string &job, const std::string &body = "");
    void operate(std::uint64_t number);
    Reply change(std::uint64_t version, const std::string &body, std::mt19937_64 &random);

    const Cell &cell;
    const Sizes sizes;
    const std::uint64_t seed;
    Checker &checker;
    std::atomic<std::uint64_t> newestVersion{0};
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
};

} // namespace paddlepier::testing::soak

#endif
