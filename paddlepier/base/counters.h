// Counters and latency histograms of one process.
//
// Counters only increase; gauges are set. A Histogram counts durations in buckets whose bounds grow by a fixed ratio, which limits the
// relative error of a quantile to that ratio. The text form has one `name value` pair per line.
//
// Example:
//     Counters counters;
//     Counter &answers = counters.counter("quick_answers_total{outcome=\"completed\"}");
//     answers.add();
//
// Thread safety: all classes may be used from any thread. References returned by Counters stay valid for its lifetime.

#ifndef PADDLEPIER_BASE_COUNTERS_H
#define PADDLEPIER_BASE_COUNTERS_H

#include "paddlepier/base/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace paddlepier
{

/** Counter or gauge; readable from any thread at any time. */
class Counter
{
public:
    void add(std::int64_t amount = 1)
    {
        this->total.fetch_add(amount, std::memory_order_relaxed);
    }

    void set(std::int64_t amount)
    {
        this->total.store(amount, std::memory_order_relaxed);
    }

    std::int64_t value() const
    {
        return this->total.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> total{0};
};

/** Bucketed distribution of durations. record() is O(log buckets), quantile() is O(buckets). */
class Histogram
{
public:
    /** Ratio of neighbouring bucket bounds, which bounds the relative error of a quantile. */
    static constexpr double bucketRatio = 1.1;

    void record(Duration duration);

    /** Upper bound of the bucket that holds the quantile @p q (0 to 1); zero if nothing was recorded. */
    Duration quantile(double q) const;

    std::int64_t count() const;

    /** Sum of all recorded durations, each truncated to microseconds. */
    Duration sum() const;

private:
    static constexpr std::size_t bucketCount = 256;
    static std::size_t bucketOf(Duration duration);

    std::array<std::atomic<std::int64_t>, bucketCount> buckets{};
    std::atomic<std::int64_t> totalMicros{0};
};

/** Records the duration of a scope in a histogram. */
class ScopeTimer
{
public:
    explicit ScopeTimer(Histogram &histogram)
        : times(histogram)
        , startedAt(controlNow())
    {
    }

    ScopeTimer(const ScopeTimer &) = delete;
    ScopeTimer &operator=(const ScopeTimer &) = delete;

    ~ScopeTimer()
    {
        this->times.record(this->elapsed());
    }

    Duration elapsed() const
    {
        return controlNow() - this->startedAt;
    }

private:
    Histogram &times;
    const Timestamp startedAt;
};

/** Registry of all counters and histograms of a process by name. */
class Counters
{
public:
    Counter &counter(std::string_view name);
    Histogram &histogram(std::string_view name);

    /** Text form of all counters, and of the count, sum, p50 and p99 of all histograms; durations in seconds. */
    std::string text() const;

private:
    mutable absl::Mutex mutex;
    std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters ABSL_GUARDED_BY(mutex);
    std::map<std::string, std::unique_ptr<Histogram>, std::less<>> histograms ABSL_GUARDED_BY(mutex);
};

} // namespace paddlepier

#endif
