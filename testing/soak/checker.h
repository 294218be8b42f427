// Records what callers, operators and workers observe, and detects violations of the platform's rules.
//
// The names in capitals are those of the platform's rules. Concurrent runs of one task, and workers beyond their capacity,
// are detected by the stand-in workers (paddlepier/execution/fakeworkers.h). Some checks are stricter than the platform's,
// because paddlepier guarantees more: only the leader answers reads of a job's state and of the configuration, so these are
// never outdated.
//
// Thread safety: all methods from any thread.

#ifndef PADDLEPIER_TESTING_SOAK_CHECKER_H
#define PADDLEPIER_TESTING_SOAK_CHECKER_H

#include "paddlepier/execution/fakeworkers.h"
#include "testing/channel.h"

#include <absl/synchronization/mutex.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace paddlepier::testing::soak
{

/** `max_attempts` of every queue of the soak. */
constexpr std::uint32_t attemptsPerTask = 3;

/** Payload of jobs whose tasks crash their workers. */
constexpr const char *crashingPayload = "crashing";

/** Number of workers that must have been lost while running a task before the task may be abandoned. */
constexpr std::size_t minLossesToAbandon = 2;

class Checker
{
public:
    using Event = execution::FakeWorkers::Event;
    using EventKind = execution::FakeWorkers::EventKind;

    /** A call that submits a job is sent, for the first time or again. */
    void submitSent(const std::string &job, const work::JobSpecT &spec);
    void submitEnded(const std::string &job, const Reply &reply);
    void cancelSent(const std::string &job);
    void cancelEnded(const std::string &job, const Reply &reply);
    /** REFUSED, MIXED, LOST: a query of the job's state was answered. */
    void stateEnded(const std::string &job, const Reply &reply);

    /** ORDER, TWICE, BUDGET, UNASKED: an event at a worker. */
    void recordEvent(const Event &event, Timestamp now);
    /** The step of a task; a placeholder for a task of no submitted job, which is reported. */
    const work::StepSpecT &stepOf(const workload::TaskKey &task);
    std::string payloadOf(const std::string &job);

    /** CONFIG: @p body is about to be sent as @p version; version 0 stands for an invalid configuration. */
    void configurationSent(std::uint64_t version, const std::string &body);
    void configurationEnded(std::uint64_t version, const Reply &reply);
    void configurationRead(const Reply &reply);

    /** LOST during planned stops: a call to an instance that received SIGTERM at @p stopAt, if at all, has ended. */
    void callEnded(const Reply &reply, Timestamp stopAt);
    /** From now on faults occur in addition to planned stops and changes. */
    void markFaultsStarted();

    void violation(const std::string &text);
    std::vector<std::string> violations();

    /** Jobs whose state must be queried again: possibly accepted, and not reported as ended or cancelled yet. */
    std::vector<std::string> unsettledJobs();
    /** Accepted jobs that are not in the expected state, with the reason; must become empty after all faults have ended. */
    std::vector<std::string> unsettled();
    /** Number of starts at all workers. */
    std::size_t startCount();
    /** Counts for the report of a seed. */
    std::string summary();

private:
    struct End {
        Timestamp at;
        work::RunEndKind kind = work::RunEndKind::Done;
        std::uint32_t run = 0;
        bool isAcknowledged = false;
    };
    struct Task {
        std::vector<Timestamp> starts;
        std::vector<End> ends;
        std::set<std::pair<std::string, std::uint32_t>> running;
    };
    struct Job {
        work::JobSpecT spec;
        std::map<workload::TaskKey, Task> tasks;
        std::uint32_t submitsInFlight = 0;
        bool hasStarted = false;
        bool isUnclear = false;
        bool isAccepted = false;
        Timestamp acceptedAt;
        bool isCancelSent = false;
        bool isCancelled = false;
        bool isUnknown = false;
        std::string state;
    };

    void addViolation(const std::string &text);
    void checkRefused(const std::string &id, const Job &job);
    void checkStart(const workload::TaskKey &task, const Job &job);
    void checkRepeatedStarts(const workload::TaskKey &task, const Job &job);
    void checkState(const std::string &id, Job &job, const std::string &state);
    static bool isStepDone(const std::string &id, const Job &job, std::uint32_t step);
    static bool hasFailed(const Job &job);
    static bool isLasting(const Job &job);
    static std::string unsettled(const std::string &id, const Job &job);

    absl::Mutex mutex;
    std::map<std::string, Job> jobs;
    std::map<std::uint64_t, std::string> sentConfigurations;
    std::vector<std::pair<Timestamp, std::uint64_t>> acknowledged;
    bool hasFaults = false;
    std::vector<std::string> foundViolations;
    std::size_t starts = 0;
    std::size_t answers = 0;
};

} // namespace paddlepier::testing::soak

#endif
