// Counters and histograms, and their text form.

#include "paddlepier/base/counters.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace paddlepier
{

namespace
{

/** Upper bound of the first bucket. */
constexpr double firstBoundSeconds = 1e-6;

template<typename Map>
auto &findOrCreate(Map &map, std::string_view name)
{
    auto found = map.find(name);
    if (found == map.end()) {
        using Pointer = typename Map::mapped_type;
        found = map.emplace(std::string(name), std::make_unique<typename Pointer::element_type>()).first;
    }
    return *found->second;
}

} // namespace

std::size_t Histogram::bucketOf(Duration duration)
{
    const double seconds = absl::ToDoubleSeconds(duration);
    if (seconds <= firstBoundSeconds) {
        return 0;
    }
    const double steps = std::ceil(std::log(seconds / firstBoundSeconds) / std::log(bucketRatio));
    return std::min(static_cast<std::size_t>(steps), bucketCount - 1);
}

void Histogram::record(Duration duration)
{
    this->buckets[bucketOf(duration)].fetch_add(1, std::memory_order_relaxed);
    this->totalMicros.fetch_add(absl::ToInt64Microseconds(duration), std::memory_order_relaxed);
}

std::int64_t Histogram::count() const
{
    std::int64_t total = 0;
    for (const auto &bucket : this->buckets) {
        total += bucket.load(std::memory_order_relaxed);
    }
    return total;
}

Duration Histogram::sum() const
{
    return absl::Microseconds(this->totalMicros.load(std::memory_order_relaxed));
}

Duration Histogram::quantile(double q) const
{
    const std::int64_t total = this->count();
    const auto rank = static_cast<std::int64_t>(std::ceil(q * static_cast<double>(total)));
    std::int64_t seen = 0;
    for (std::size_t index = 0; index < bucketCount; ++index) {
        seen += this->buckets[index].load(std::memory_order_relaxed);
        if (total > 0 && seen >= rank) {
            return absl::Seconds(firstBoundSeconds * std::pow(bucketRatio, static_cast<double>(index)));
        }
    }
    return absl::ZeroDuration();
}

Counter &Counters::counter(std::string_view name)
{
    const absl::MutexLock lock(&this->mutex);
    return findOrCreate(this->counters, name);
}

Histogram &Counters::histogram(std::string_view name)
{
    const absl::MutexLock lock(&this->mutex);
    return findOrCreate(this->histograms, name);
}

std::string Counters::text() const
{
    const absl::MutexLock lock(&this->mutex);
    std::string out;
    for (const auto &[name, counter] : this->counters) {
        absl::StrAppend(&out, name, " ", counter->value(), "\n");
    }
    for (const auto &[name, histogram] : this->histograms) {
        absl::StrAppend(&out, name, "_count ", histogram->count(), "\n");
        absl::StrAppend(&out, name, "_sum_seconds ", absl::ToDoubleSeconds(histogram->sum()), "\n");
        absl::StrAppend(&out, name, "_p50_seconds ", absl::ToDoubleSeconds(histogram->quantile(0.5)), "\n");
        absl::StrAppend(&out, name, "_p99_seconds ", absl::ToDoubleSeconds(histogram->quantile(0.99)), "\n");
    }
    return out;
}

} // namespace paddlepier
