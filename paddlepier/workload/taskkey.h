// Key of one task: job id, occurrence, step and index. The numbers count from 0.
//
// Thread safety: plain values.

#ifndef PADDLEPIER_WORKLOAD_TASKKEY_H
#define PADDLEPIER_WORKLOAD_TASKKEY_H

#include "paddlepier/wire/workload_generated.h"

#include <absl/hash/hash.h>
#include <absl/strings/str_cat.h>

#include <cstdint>
#include <memory>
#include <string>
#include <tuple>

namespace paddlepier::workload
{

/** One step of one occurrence of a job. */
struct StepKey {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    bool operator==(const StepKey &) const = default;

    bool operator<(const StepKey &other) const
    {
        return std::tie(this->job, this->occurrence, this->step) < std::tie(other.job, other.occurrence, other.step);
    }

    std::string text() const
    {
        return absl::StrCat(this->job, ".", this->occurrence, ".", this->step);
    }
};

/** For hash tables. */
struct StepKeyHash {
    std::size_t operator()(const StepKey &key) const
    {
        return absl::HashOf(key.job, key.occurrence, key.step);
    }
};

struct TaskKey {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    TaskKey() = default;

    TaskKey(std::string jobId, std::uint32_t occurrenceNumber, std::uint32_t stepNumber, std::uint32_t taskIndex)
        : job(std::move(jobId))
        , occurrence(occurrenceNumber)
        , step(stepNumber)
        , index(taskIndex)
    {
    }

    explicit TaskKey(const work::TaskKeyT &record)
        : TaskKey(record.job, record.occurrence, record.step, record.index)
    {
    }

    bool operator==(const TaskKey &) const = default;

    bool operator<(const TaskKey &other) const
    {
        return std::tie(this->job, this->occurrence, this->step, this->index) < std::tie(other.job, other.occurrence, other.step, other.index);
    }

    StepKey stepKey() const
    {
        return {this->job, this->occurrence, this->step};
    }

    std::unique_ptr<work::TaskKeyT> record() const
    {
        auto table = std::make_unique<work::TaskKeyT>();
        table->job = this->job;
        table->occurrence = this->occurrence;
        table->step = this->step;
        table->index = this->index;
        return table;
    }

    flatbuffers::Offset<work::TaskKey> pack(flatbuffers::FlatBufferBuilder &builder) const
    {
        return work::CreateTaskKey(builder, builder.CreateString(this->job), this->occurrence, this->step, this->index);
    }

    std::string text() const
    {
        return absl::StrCat(this->job, ".", this->occurrence, ".", this->step, ".", this->index);
    }
};

} // namespace paddlepier::workload

#endif
