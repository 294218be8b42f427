// A region's workload: configuration, jobs, workers' lives and the runs between them, as a replicated state machine.
//
// A placement reserves room on its worker in the same entry that names it, so that no two decisions can fill the same
// room. Room is given back by the recorded end of the run and by nothing else. The same holds for a team's quota: a placement
// that would go over it is refused, whatever the planner thought. An accepted configuration's version only rises; another
// content under the version held is refused. No placement is taken on workers of an evacuated data centre; what runs there goes on.
//
// Example:
//     Workload workload;
//     const Outcome outcome = workload.apply(wire::pack(entry));
//
// Thread safety: none; owned by the control thread. apply() costs O(log n) for each task that it names.

#ifndef PADDLEPIER_WORKLOAD_WORKLOAD_H
#define PADDLEPIER_WORKLOAD_WORKLOAD_H

#include "paddlepier/base/error.h"
#include "paddlepier/wire/workload_generated.h"
#include "paddlepier/workload/changelog.h"
#include "paddlepier/workload/job.h"
#include "paddlepier/workload/incarnation.h"
#include "paddlepier/workload/teams.h"
#include "paddlepier/workload/worker.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::workload
{

/** Ended jobs are kept this long; the users ask for two minutes, the rest is for clocks that differ. */
constexpr std::int64_t jobRetentionMillis = 150'000;

/** Outcome of one command. */
struct Outcome {
    ErrorCode error = ErrorCode::None;
    std::string message;
    /** Of PlaceRuns: what was taken. */
    std::vector<work::PlacementT> placed;
    /** Of RemoveWorker and RecordEnds: tasks that are given up since worker after worker was lost under them. */
    std::vector<TaskKey> givenUp;
};

class Workload
{
public:
    using Outcome = workload::Outcome;

    Outcome apply(const std::vector<std::uint8_t> &command);
    Outcome apply(const work::EntryT &entry);
    std::string snapshot() const;
    /** @throws MalformedBodyError if @p bytes are not a snapshot */
    void restore(const std::string &bytes);
    bool hasHistory() const;
    static Outcome failure(ErrorCode error, const std::string &message);

    /** Version 0 before the first. */
    const work::ChangeConfigurationT &configuration() const;
    /** Queue of the longest prefix that @p path begins with; null if there is none. */
    const work::QueueSpecT *findQueue(std::string_view host, std::string_view path) const;
    const work::ServiceSpecT *findService(std::string_view name) const;
    const Teams &teams() const;
    const Job *findJob(const std::string &id) const;
    const Worker *findWorker(const Life &life) const;
    /** The latest life under @p id; null if there is none. O(log workers). */
    const Worker *findLatestWorker(const std::string &id) const;
    const std::map<Life, Worker> &workers() const;
    /** Jobs with tasks to run or runs under way. */
    const std::set<std::string> &activeJobs() const;
    /** Of these, the ones that haven't ended and have tasks without a run. */
    const std::set<std::string> &waitingJobs() const;
    /** Tasks that aren't over and under which workers were lost, or may have been. */
    const std::set<TaskKey> &suspects() const;
    /** Data centres on whose workers nothing may be placed. */
    const std::set<std::string, std::less<>> &evacuatedDataCentres() const;
    bool isEvacuated(const Worker &worker) const;
    /** Lives that were announced with this address, or for this machine; O(log workers). */
    const std::set<Life> &livesAtAddress(const std::string &address) const;
    const std::set<Life> &livesOfMachine(const std::string &machine) const;
    /** Superseded runs of the task on all workers; O(log runs). */
    std::uint32_t supersededRuns(const TaskKey &key) const;
    /** Jobs whose tasks, runs or state have changed, and workers whose room or registration has; not part of a snapshot. */
    const ChangeLog<std::string> &jobChanges() const;
    const ChangeLog<Life> &workerChanges() const;
    std::int64_t appliedAtMillis() const;

private:
    Outcome changeConfiguration(const work::ChangeConfigurationT &command);
    Outcome submitJob(const work::SubmitJobT &command);
    Outcome cancelJob(const work::CancelJobT &command);
    Outcome placeRuns(const work::PlaceRunsT &command);
    Outcome recordEnds(const work::RecordEndsT &command);
    Outcome registerWorker(const work::RegisterWorkerT &command);
    Outcome removeWorker(const work::RemoveWorkerT &command);
    Outcome changeEvacuation(const work::ChangeEvacuationT &command);

    /** Length of the group of placements at @p begin that are taken whole or not at all. */
    std::size_t groupLength(const std::vector<std::unique_ptr<work::PlacementT>> &placements, std::size_t begin) const;
    bool placeOne(const work::PlacementT &placement);
    /** A run takes its room on the worker, and of its team's quota. */
    void takeRoom(Worker &worker, const Job &job, const TaskKey &key);
    /** @return false if the worker has no such run */
    bool giveRoomBack(Worker &worker, const Job &job, const TaskKey &key);
    /** Keeps the indexes of addresses and machines true. */
    void indexWorker(const work::RegisterWorkerT &registration);
    void dropFromIndex(const work::RegisterWorkerT &registration);
    void addSuperseded(Worker &worker, const TaskKey &key, const SupersededRun &run);
    void removeSuperseded(Worker &worker, const TaskKey &key);
    void undoPlacement(const work::PlacementT &placement);
    /** @return whether the task is given up with that */
    bool endRun(const Life &worker, const work::RunEndT &end);
    /** A start meant for @p from has reached the next life of that worker. */
    void moveRun(const Life &from, const Life &to, const work::RunEndT &run);
    void endSupersededRun(Worker &worker, const TaskKey &key, const work::RunEndT &end);
    /** Counts the loss of a worker for the tasks that it took along. @return those that are given up with that */
    std::vector<TaskKey> countLosses(const Worker &worker, const work::RemoveWorkerT &command);
    /** A run was given up with its lease. */
    void noteLapse(Worker &worker, const TaskKey &key, work::RunAtLoss atLoss);
    /** The task has shown that it doesn't take workers down. */
    void clearLosses(const TaskKey &key);
    /** It is known now what became of a worker on which runs were given up with their lease. */
    void settleLapses(Worker &worker);
    /** Finds the suspects, and what is in doubt of them, in the jobs and workers of a snapshot. */
    void restoreSuspects();
    /** Keeps `suspectTasks` true for one task. */
    void noteSuspect(const TaskKey &key);
    void noteJob(Job &job);
    void noteWaiting(const Job &job);
    void forgetEndedJobs();

    work::ChangeConfigurationT currentConfiguration;
    std::map<std::string, Job> jobById;
    std::map<Life, Worker> workerByLife;
    std::set<std::string, std::less<>> evacuated;
    std::int64_t appliedAt = 0;

    // Derived, rebuilt by restore():
    /** Counts the runs of all workers and their superseded runs. */
    Teams teamsOfJobs;
    std::set<std::string> active;
    std::set<std::string> waiting;
    std::set<TaskKey> suspectTasks;
    std::map<std::string, std::set<Life>> byAddress;
    std::map<std::string, std::set<Life>> byMachine;
    std::map<TaskKey, std::uint32_t> supersededByTask;
    ChangeLog<std::string> changedJobs;
    ChangeLog<Life> changedWorkers;
    /** Ended jobs without runs, in the order in which they came to that. */
    std::deque<std::string> ended;
};

} // namespace paddlepier::workload

#endif
