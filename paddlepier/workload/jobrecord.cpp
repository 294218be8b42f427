// Conversion of a job to and from its snapshot record.

#include "paddlepier/workload/job.h"

namespace paddlepier::workload
{

namespace
{

flatbuffers::Offset<work::TaskRecord> packTask(flatbuffers::FlatBufferBuilder &builder, const Task &task, std::uint32_t index)
{
    const auto worker = builder.CreateString(task.worker.id);
    const auto checkpoint = builder.CreateString(task.checkpoint);
    const auto lostWorkers = task.lostWorkers.empty() ? 0 : builder.CreateVectorOfStrings(task.lostWorkers);
    return work::CreateTaskRecord(builder,
                                  index,
                                  task.isDone,
                                  task.lastRun,
                                  worker,
                                  task.failures,
                                  checkpoint,
                                  task.everStarted,
                                  lostWorkers,
                                  task.freshLosses,
                                  task.placedAtMillis,
                                  task.finalAttempts,
                                  task.worker.born,
                                  task.confirmedLosses,
                                  task.verifiedRun,
                                  task.verifiedLosses);
}

Task unpackTask(const work::TaskRecordT &record)
{
    Task task;
    task.isDone = record.isDone;
    task.everStarted = record.everStarted;
    task.lastRun = record.lastRun;
    task.failures = record.failures;
    task.worker = {record.worker, record.born};
    task.checkpoint = record.checkpoint;
    task.lostWorkers = record.lostWorkers;
    task.freshLosses = record.freshLosses;
    task.confirmedLosses = record.confirmedLosses;
    task.verifiedLosses = record.verifiedLosses;
    task.verifiedRun = record.verifiedRun;
    task.placedAtMillis = record.placedAtMillis;
    task.finalAttempts = record.lastTries;
    return task;
}

flatbuffers::Offset<work::JobFailure> packFailure(flatbuffers::FlatBufferBuilder &builder, const JobFailure &failure)
{
    if (failure.reason == work::JobFailureReason::None) {
        return 0;
    }
    const auto task = failure.task.pack(builder);
    return work::CreateJobFailure(builder, failure.reason, task, builder.CreateVectorOfStrings(failure.lostWorkers));
}

/** Stores only tasks that differ from their initial state. */
flatbuffers::Offset<work::StepRecord> packStep(flatbuffers::FlatBufferBuilder &builder, const Step &step)
{
    std::vector<flatbuffers::Offset<work::TaskRecord>> tasks;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        if (step.tasks[index].isDone || step.tasks[index].lastRun > 0) {
            tasks.push_back(packTask(builder, step.tasks[index], index));
        }
    }
    return work::CreateStepRecord(builder, builder.CreateVector(tasks), step.gangFailures, step.lastFailedRun);
}

} // namespace

Job::Job(const work::JobRecordT &record)
    : Job(record.id, *record.queue, *record.spec, record.submittedAtMillis, record.team)
{
    this->jobState = record.state;
    this->cancelled = record.isCancelled;
    this->endedAt = record.endedAtMillis;
    if (record.failure) {
        this->jobFailure = {record.failure->reason, TaskKey(*record.failure->task), record.failure->lostWorkers};
    }
    for (std::size_t number = 0; number < record.occurrences.size(); ++number) {
        for (std::size_t index = 0; index < this->occurrenceList[number].steps.size(); ++index) {
            Step &step = this->occurrenceList[number].steps[index];
            const work::StepRecordT &stored = *record.occurrences[number]->steps[index];
            step.gangFailures = stored.gangFailures;
            step.lastFailedRun = stored.lastFailedRun;
            for (const auto &entry : stored.tasks) {
                step.tasks[entry->index] = unpackTask(*entry);
                this->hasStartedRun = this->hasStartedRun || entry->everStarted;
            }
        }
    }
    this->recount();
}

work::JobRecordT Job::record() const
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(this->pack(builder));
    work::JobRecordT table;
    flatbuffers::GetRoot<work::JobRecord>(builder.GetBufferPointer())->UnPackTo(&table);
    return table;
}

flatbuffers::Offset<work::JobRecord> Job::pack(flatbuffers::FlatBufferBuilder &builder) const
{
    std::vector<flatbuffers::Offset<work::OccurrenceRecord>> occurrences;
    // The tasks of a fully ended job are left out: only the fields that users can query are still needed.
    for (std::size_t number = 0; !this->isFullyEnded() && number < this->occurrenceList.size(); ++number) {
        std::vector<flatbuffers::Offset<work::StepRecord>> steps;
        for (const Step &step : this->occurrenceList[number].steps) {
            steps.push_back(packStep(builder, step));
        }
        occurrences.push_back(work::CreateOccurrenceRecord(builder, builder.CreateVector(steps)));
    }
    const auto id = builder.CreateString(this->jobId);
    const auto queue = work::QueueSpec::Pack(builder, &this->queueSpec);
    const auto spec = work::JobSpec::Pack(builder, &this->jobSpec);
    const auto stored = builder.CreateVector(occurrences);
    const auto failure = packFailure(builder, this->jobFailure);
    const auto team = builder.CreateString(this->teamName);
    return work::CreateJobRecord(builder, id, queue, spec, this->jobState, this->cancelled, this->submittedAt, this->endedAt, stored, failure, team);
}

} // namespace paddlepier::workload
