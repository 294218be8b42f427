// Prints replies as text tables on the command line.

#include "paddlepier/cli/tables.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace paddlepier::cli
{

namespace
{

std::string usedOfTotal(std::uint64_t used, std::uint64_t total)
{
    return absl::StrCat(used, "/", total);
}

std::string workerState(const wire::WorkerSummaryT &worker)
{
    if (!worker.reachable) {
        return "silent";
    }
    return worker.draining ? "draining" : "ready";
}

std::string waitText(std::int64_t fromMicros, std::int64_t toMicros)
{
    return toMicros == 0 ? "-" : absl::StrCat((toMicros - fromMicros) / 1000, " ms");
}

} // namespace

void printTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column] + std::string(widths[column] + 2 - row[column].size(), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

void printStatus(std::ostream &out, const wire::StatusReplyT &reply)
{
    out << reply.dataCentre << ": leader " << reply.leader << ", term " << reply.term << ", " << reply.committedIndex << " entries committed, " << reply.jobs
        << " jobs, " << reply.queuedTasks << " tasks queued, " << reply.runningTasks << " placed, " << reply.lostJobs << " jobs lost, " << reply.overdueJobs
        << " overdue\n";
    std::vector<std::vector<std::string>> rows{{"WORKER", "PARTNER", "RACK", "STATE", "TASKS", "MILLIPROCESSORS", "MEMORY MB", "ACCELERATORS"}};
    for (const auto &worker : reply.workers) {
        rows.push_back({worker->worker,
                        worker->partner,
                        worker->rack,
                        workerState(*worker),
                        absl::StrCat(worker->tasks),
                        usedOfTotal(worker->reserved.milliProcessors(), worker->capacity.milliProcessors()),
                        usedOfTotal(worker->reserved.memoryMegabytes(), worker->capacity.memoryMegabytes()),
                        usedOfTotal(worker->reserved.accelerators(), worker->capacity.accelerators())});
    }
    printTable(out, rows);
}

void printJobs(std::ostream &out, const wire::ListReplyT &reply)
{
    std::vector<std::vector<std::string>> rows{{"JOB", "PARTNER", "NAME", "KIND", "STATE", "TASKS", "RUNNING", "DONE", "WAITED", "OVERDUE"}};
    for (const auto &job : reply.jobs) {
        rows.push_back({job->job,
                        job->partner,
                        job->name,
                        wire::EnumNameJobKind(job->kind),
                        wire::EnumNameTaskState(job->state),
                        absl::StrCat(job->tasks),
                        absl::StrCat(job->running),
                        absl::StrCat(job->succeeded),
                        waitText(job->submittedAtMicros, job->firstStartAtMicros),
                        job->overdue ? "yes" : "no"});
    }
    printTable(out, rows);
}

void printConfiguration(std::ostream &out, const wire::ConfigurationStatusReplyT &reply)
{
    out << "accepted: version " << reply.configuration->version << ", revision " << reply.configuration->revision << "\n";
    std::vector<std::vector<std::string>> rows{{"INSTANCE", "IN FORCE", "STATE"}};
    for (const auto &instance : reply.instances) {
        const bool isCurrent = instance->version == reply.configuration->version;
        rows.push_back({instance->instance, absl::StrCat(instance->version), !instance->isReachable ? "out of reach" : isCurrent ? "current" : "behind"});
    }
    printTable(out, rows);
}

void printExplanation(std::ostream &out, const wire::ExplainReplyT &reply)
{
    const wire::JobSummaryT &job = *reply.summary;
    out << job.job << " (" << job.name << ", " << wire::EnumNameJobKind(job.kind) << " of " << job.partner << "): " << wire::EnumNameTaskState(job.state)
        << "\n"
        << "reason: " << wire::EnumNameWaitReason(reply.reason) << ": " << reply.reasonText << "\n";
    std::vector<std::vector<std::string>> rows{{"TASK", "STATE", "WORKER", "EPOCH", "FAILED ATTEMPTS", "LOST WORKERS"}};
    for (const auto &task : reply.tasks) {
        rows.push_back({absl::StrCat(task->index),
                        wire::EnumNameTaskState(task->state),
                        task->worker.empty() ? "-" : task->worker,
                        absl::StrCat(task->epoch),
                        absl::StrCat(task->attempts),
                        absl::StrCat(task->losses)});
    }
    printTable(out, rows);
}

} // namespace paddlepier::cli
