// Workload: conversion to and from a snapshot.

#include "paddlepier/wire/codec.h"
#include "paddlepier/workload/workload.h"

#include <algorithm>
#include <utility>

namespace paddlepier::workload
{

namespace
{

flatbuffers::Offset<work::WorkerRecord> packWorker(flatbuffers::FlatBufferBuilder &builder, const Worker &worker)
{
    std::vector<flatbuffers::Offset<work::CopyRecord>> copies;
    for (const auto &[key, run] : worker.superseded) {
        const auto task = key.pack(builder);
        const auto team = builder.CreateString(run.team);
        copies.push_back(work::CreateCopyRecord(builder, task, run.run, &run.demand, team, &run.quotaDemand));
    }
    std::vector<flatbuffers::Offset<work::TaskKey>> lapsed;
    std::vector<work::RunAtLoss> lapsedAtLoss;
    for (const auto &[key, atLoss] : worker.expiredLeases) {
        lapsed.push_back(key.pack(builder));
        lapsedAtLoss.push_back(atLoss);
    }
    const auto registration = work::RegisterWorker::Pack(builder, &worker.registration);
    const auto copyRecords = builder.CreateVector(copies);
    const auto lapsedKeys = builder.CreateVector(lapsed);
    return work::CreateWorkerRecord(builder, registration, worker.lastSequence, copyRecords, lapsedKeys, builder.CreateVector(lapsedAtLoss));
}

} // namespace

std::string Workload::snapshot() const
{
    // Packed directly from the state: intermediate records would be a second copy of it.
    constexpr std::size_t typicalJobBytes = 1024;
    flatbuffers::FlatBufferBuilder builder(typicalJobBytes * (1 + this->jobById.size()));
    std::vector<flatbuffers::Offset<work::JobRecord>> jobs;
    jobs.reserve(this->jobById.size());
    for (const auto &[id, job] : this->jobById) {
        jobs.push_back(job.pack(builder));
    }
    std::vector<flatbuffers::Offset<work::WorkerRecord>> workers;
    workers.reserve(this->workerByIncarnation.size());
    for (const auto &[incarnation, worker] : this->workerByIncarnation) {
        workers.push_back(packWorker(builder, worker));
    }
    const auto configuration = work::ChangeConfiguration::Pack(builder, &this->currentConfiguration);
    const auto jobRecords = builder.CreateVector(jobs);
    const auto workerRecords = builder.CreateVector(workers);
    const auto evacuatedNames = builder.CreateVectorOfStrings(std::vector<std::string>(this->evacuated.begin(), this->evacuated.end()));
    builder.Finish(work::CreateSnapshot(builder, this->appliedAt, configuration, jobRecords, workerRecords, evacuatedNames));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

void Workload::restore(const std::string &bytes)
{
    const auto snapshot = wire::unpack<work::SnapshotT>(bytes);
    // The change logs are retained, so that positions held by readers stay valid.
    ChangeLog<std::string> jobLog = std::move(this->jobChangeLog);
    ChangeLog<Incarnation> workerLog = std::move(this->workerChangeLog);
    *this = Workload();
    this->jobChangeLog = std::move(jobLog);
    this->workerChangeLog = std::move(workerLog);
    this->jobChangeLog.invalidateAll();
    this->workerChangeLog.invalidateAll();
    this->appliedAt = snapshot.atMillis;
    if (snapshot.configuration) {
        this->currentConfiguration = *snapshot.configuration;
        this->teamQuotas.configure(this->currentConfiguration);
    }
    this->evacuated.insert(snapshot.evacuatedDataCentres.begin(), snapshot.evacuatedDataCentres.end());
    for (const auto &record : snapshot.workers) {
        Worker &worker = this->workerByIncarnation[incarnationOf(*record->registration)];
        worker.registration = *record->registration;
        this->indexWorker(worker.registration);
        worker.lastSequence = record->lastSequence;
        for (const auto &copy : record->copies) {
            this->addSuperseded(worker, TaskKey(*copy->task), {copy->run, *copy->demand, copy->team, copy->quotaDemand ? *copy->quotaDemand : work::Demand()});
        }
        for (std::size_t number = 0; number < record->lapsed.size(); ++number) {
            const bool isKnown = number < record->lapsedAtLoss.size();
            worker.expiredLeases.emplace(*record->lapsed[number], isKnown ? record->lapsedAtLoss[number] : work::RunAtLoss::Unclear);
        }
    }
    for (const auto &record : snapshot.jobs) {
        Job &job = this->jobById.emplace(record->id, Job(*record)).first->second;
        this->activeJobIds.insert(job.id());
        this->updateJobIndexes(job);
        for (std::uint32_t occurrence = 0; occurrence < job.occurrences().size(); ++occurrence) {
            for (std::uint32_t step = 0; step < job.occurrences()[occurrence].steps.size(); ++step) {
                const std::vector<Task> &tasks = job.occurrences()[occurrence].steps[step].tasks;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    const auto worker = this->workerByIncarnation.find(tasks[index].worker);
                    if (worker != this->workerByIncarnation.end()) {
                        this->reserveCapacity(worker->second, job, {job.id(), occurrence, step, index});
                    }
                }
            }
        }
    }
    this->restoreSuspects();
    std::sort(this->endedJobIds.begin(), this->endedJobIds.end(), [this](const std::string &left, const std::string &right) {
        return this->jobById.at(left).endedAtMillis() < this->jobById.at(right).endedAtMillis();
    });
}

} // namespace paddlepier::workload
