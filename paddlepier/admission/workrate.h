// Average rate of arriving work, exponentially weighted over time.
//
// Load pattern: urgent jobs arrive in bursts, and what matters to a less urgent job is how much capacity they take over the seconds for
// which it waits. A time constant of 5 s spans several urgent jobs of the longest kind (5 s) and follows a wave of demand (15 s).
// The average is corrected for the time before the measurement began, which would otherwise count as time without work.
//
// Example:
//     WorkRate rate(startMillis);
//     rate.record(nowMillis, work);
//     const double taken = rate.perMilli(nowMillis);
//
// Thread safety: none; owned by the backlog. Cost: O(1).

#ifndef PADDLEPIER_ADMISSION_WORKRATE_H
#define PADDLEPIER_ADMISSION_WORKRATE_H

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace paddlepier::admission
{

class WorkRate
{
public:
    static constexpr double timeConstantMillis = 5000;

    explicit WorkRate(std::int64_t startMillis)
        : startedAt(startMillis)
        , decayedAt(startMillis)
    {
    }

    void record(std::int64_t nowMillis, std::int64_t work)
    {
        this->rate = this->rate * remainingWeight(this->decayedAt, nowMillis) + static_cast<double>(work) / timeConstantMillis;
        this->decayedAt = std::max(this->decayedAt, nowMillis);
    }

    /** Work a millisecond; 0 until time has passed since the start. */
    double perMilli(std::int64_t nowMillis) const
    {
        const double measured = 1 - remainingWeight(this->startedAt, nowMillis);
        return measured > 0 ? this->rate * remainingWeight(this->decayedAt, nowMillis) / measured : 0;
    }

private:
    /** Wall-clock times may go backwards. */
    static double remainingWeight(std::int64_t sinceMillis, std::int64_t nowMillis)
    {
        return std::exp(-static_cast<double>(std::max<std::int64_t>(0, nowMillis - sinceMillis)) / timeConstantMillis);
    }

    std::int64_t startedAt;
    std::int64_t decayedAt;
    double rate = 0;
};

} // namespace paddlepier::admission

#endif
