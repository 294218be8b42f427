// Workload: loss of workers, and tracking of the tasks that may have caused it.
//
// A worker that announces its departure is not a loss. One that crashes counts as a loss for each task that ran there, since any of them
// may have been the cause. The failure of a rack or a data centre looks the same at that time; it shows later, when the tasks run
// normally elsewhere. A worker whose lease has expired may be lost or partitioned: the losses of its tasks stay unconfirmed until it
// responds again or is removed.

#include "paddlepier/workload/workload.h"

#include <algorithm>

namespace paddlepier::workload
{

namespace
{

bool isCounted(work::RunAtLoss atLoss)
{
    return atLoss != work::RunAtLoss::NotBegun && atLoss != work::RunAtLoss::Settled;
}

} // namespace

Outcome Workload::removeWorker(const work::RemoveWorkerT &command)
{
    const Incarnation incarnation{command.id, command.born};
    const auto found = this->workerByIncarnation.find(incarnation);
    if (found == this->workerByIncarnation.end()) {
        return {};
    }
    Outcome outcome;
    for (const auto &run : command.moved) {
        this->moveRun(incarnation, {command.id, command.nextBorn}, *run);
    }
    const std::set<TaskKey> lost = found->second.runs;
    if (command.end != work::LifeEnd::Left) {
        outcome.abandonedTasks = this->recordLosses(found->second, command);
    }
    this->resolveExpiredLeases(found->second);
    for (const TaskKey &key : lost) {
        work::RunEndT end;
        end.task = key.record();
        end.run = this->jobById.at(key.job).task(key).lastRun;
        end.kind = work::RunEndKind::WorkerLost;
        if (this->endRun(incarnation, end)) {
            outcome.abandonedTasks.push_back(key);
        }
    }
    while (!found->second.superseded.empty()) {
        this->removeSuperseded(found->second, found->second.superseded.begin()->first);
    }
    this->unindexWorker(found->second.registration);
    this->workerByIncarnation.erase(incarnation);
    return outcome;
}

std::vector<TaskKey> Workload::recordLosses(const Worker &worker, const work::RemoveWorkerT &command)
{
    // Suspects are started in isolation, so that a suspect that had just been started is the cause if it is the only one.
    const auto isFresh = [](const work::RunEndT &run) { return run.atLoss == work::RunAtLoss::Fresh || run.atLoss == work::RunAtLoss::Verified; };
    const auto isSuspect = [this, &isFresh](const std::unique_ptr<work::RunEndT> &run) {
        return isFresh(*run) && this->suspectTasks.contains(TaskKey(*run->task));
    };
    const bool hasOneSuspect = std::count_if(command.lost.begin(), command.lost.end(), isSuspect) == 1;
    std::vector<TaskKey> abandonedTasks;
    const auto recordLoss = [&](const TaskKey &key, work::RunAtLoss atLoss, bool isOnlySuspect) {
        const auto job = this->jobById.find(key.job);
        if (job == this->jobById.end()) {
            return;
        }
        if (job->second.recordLoss(key, incarnationOf(worker.registration), atLoss, isOnlySuspect, this->appliedAt)) {
            abandonedTasks.push_back(key);
        }
        this->updateSuspect(key);
        this->updateJobIndexes(job->second);
    };
    for (const auto &run : command.lost) {
        const TaskKey key(*run->task);
        if (!worker.runs.contains(key) && !worker.superseded.contains(key)) {
            continue;
        }
        if (isCounted(run->atLoss)) {
            recordLoss(key, run->atLoss, isFresh(*run) && hasOneSuspect);
        } else if (run->atLoss == work::RunAtLoss::Settled) {
            this->clearLosses(key);
        }
    }
    for (const auto &[key, atLoss] : worker.expiredLeases) {
        recordLoss(key, atLoss, false);
    }
    return abandonedTasks;
}

void Workload::recordExpiredLease(Worker &worker, const TaskKey &key, work::RunAtLoss atLoss)
{
    if (atLoss == work::RunAtLoss::Settled) {
        this->clearLosses(key);
    }
    const auto job = this->jobById.find(key.job);
    if (job != this->jobById.end() && isCounted(atLoss) && worker.expiredLeases.emplace(key, atLoss).second) {
        job->second.adjustUnconfirmedLosses(key, 1);
        this->updateSuspect(key);
    }
}

void Workload::clearLosses(const TaskKey &key)
{
    const auto job = this->jobById.find(key.job);
    if (job != this->jobById.end()) {
        job->second.clearLosses(key);
        this->updateSuspect(key);
    }
}

void Workload::resolveExpiredLeases(Worker &worker)
{
    for (const auto &[key, atLoss] : worker.expiredLeases) {
        const auto job = this->jobById.find(key.job);
        if (job != this->jobById.end()) {
            job->second.adjustUnconfirmedLosses(key, -1);
            this->updateSuspect(key);
        }
    }
    worker.expiredLeases.clear();
}

void Workload::updateSuspect(const TaskKey &key)
{
    const Job &job = this->jobById.at(key.job);
    const bool isUnfinished = !job.hasEnded() && job.hasTask(key) && !job.task(key).isDone;
    if (isUnfinished && job.task(key).possibleLosses() > 0) {
        this->suspectTasks.insert(key);
    } else {
        this->suspectTasks.erase(key);
    }
}

void Workload::restoreSuspects()
{
    for (const auto &[id, worker] : this->workerByIncarnation) {
        for (const auto &[key, atLoss] : worker.expiredLeases) {
            const auto job = this->jobById.find(key.job);
            if (job != this->jobById.end()) {
                job->second.adjustUnconfirmedLosses(key, 1);
                this->updateSuspect(key);
            }
        }
    }
    for (const std::string &id : this->activeJobIds) {
        const std::vector<Occurrence> &occurrences = this->jobById.at(id).occurrences();
        for (std::uint32_t occurrence = 0; occurrence < occurrences.size(); ++occurrence) {
            for (std::uint32_t step = 0; step < occurrences[occurrence].steps.size(); ++step) {
                const std::vector<Task> &tasks = occurrences[occurrence].steps[step].tasks;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    if (tasks[index].isSuspect()) {
                        this->updateSuspect({id, occurrence, step, index});
                    }
                }
            }
        }
    }
}

} // namespace paddlepier::workload
