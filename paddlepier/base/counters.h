// Counters and latency histograms of one process.
//
// Counters only grow; gauges are set. A Histogram keeps counts in buckets whose bounds grow by a fixed ratio, so that a
// quantile is read with a relative error of at most that ratio. The text form is one `name value` pair a line.
//
// Example:
//     Counters counters;
//     Counter &answers = counters.counter("quick_answers_total{outcome=\"completed\"}");
//     answers.add();
//
// Thread safety: all classes may be used from any thread. References from Counters stay valid as long as it lives.

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

/** A number that other threads may read at any time. */
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

/** Durations in buckets; record() is O(log buckets), quantile() is O(buckets). */
class Histogram
{
public:
    /** Ratio between neighbouring bucket bounds, hence the largest relative error of a quantile. */
    static constexpr double bucketRatio = 1.1;

    void record(Duration duration);

    /** Upper bound of the bucket that holds the quantile @p q (0 to 1); zero if nothing was recorded. */
    Duration quantile(double q) const;

    std::int64_t count() const;

    /** Of all durations recorded, to a microsecond each. */
    Duration sum() const;

private:
    static constexpr std::size_t bucketCount = 256;
    static std::size_t bucketOf(Duration duration);

    std::array<std::atomic<std::int64_t>, bucketCount> buckets{};
    std::atomic<std::int64_t> totalMicros{0};
};

/** Records in a histogram how long a scope takes. */
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

/** All counters of a process by name. */
class Counters
{
public:
    Counter &counter(std::string_view name);
    Histogram &histogram(std::string_view name);

    /** Every counter, and the count, the sum, p50 and p99 in seconds of every histogram. */
    std::string text() const;

private:
    mutable absl::Mutex mutex;
    std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters ABSL_GUARDED_BY(mutex);
    std::map<std::string, std::unique_ptr<Histogram>, std::less<>> histograms ABSL_GUARDED_BY(mutex);
};

} // namespace paddlepier

#endif
