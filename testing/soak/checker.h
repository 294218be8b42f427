// What callers, operators and workers have seen, and which promises it breaks.
//
// The names in capitals are those of the platform's rules. Two runs of one task at a time, and a worker over its capacity,
// are judged where they happen (paddlepier/execution/fakeworkers.h). Bounds are stricter than the platform's where ours
// hold at every moment: a job's state and the configuration are asked of the leader alone.
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

/** Payload of jobs whose tasks take their workers down. */
constexpr const char *crashingPayload = "crashing";

/** Workers that must have been lost under a task before it may be given up. */
constexpr std::size_t minLossesToAbandon = 2;

class Checker
{
public:
    using Event = execution::FakeWorkers::Event;
    using EventKind = execution::FakeWorkers::EventKind;

    /** A call that hands a job in begins, the first one or a repeated one. */
    void submitSent(const std::string &job, const work::JobSpecT &spec);
    void submitEnded(const std::string &job, const Reply &reply);
    void cancelSent(const std::string &job);
    void cancelEnded(const std::string &job, const Reply &reply);
    /** REFUSED, MIXED, LOST: an answer to a question for the job's state. */
    void stateEnded(const std::string &job, const Reply &reply);

    /** ORDER, TWICE, BUDGET, UNASKED: what a worker did. */
    void observed(const Event &event, Timestamp now);
    /** The step of a task; of one that nobody asked for, some step. */
    const work::StepSpecT &stepOf(const workload::TaskKey &task);
    std::string payloadOf(const std::string &job);

    /** CONFIG: @p body is sent as @p version; valid unless the version is 0. */
    void configurationSent(std::uint64_t version, const std::string &body);
    void configurationEnded(std::uint64_t version, const Reply &reply);
    void configurationRead(const Reply &reply);

    /** LOST around planned work: a call at an instance that was told to stop at @p stopAt, if ever, has ended. */
    void callEnded(const Reply &reply, Timestamp stopAt);
    /** From now on there are faults, not just planned stops and changes. */
    void disturbed();

    void violation(const std::string &text);
    std::vector<std::string> violations();

    /** Jobs that callers must go on asking for: accepted or unclear, and neither ended nor cancelled as far as was shown. */
    std::vector<std::string> unsettledJobs();
    /** Why jobs that were accepted don't stand as they should once all is calm; empty if all do. */
    std::vector<std::string> unsettled();
    /** Counts for the report. */
    std::string summary();

private:
    struct End {
        Timestamp at;
        work::RunEndKind kind = work::RunEndKind::Done;
        std::uint32_t run = 0;
        bool isNoted = false;
    };
    struct Task {
        std::vector<Timestamp> starts;
        std::vector<End> ends;
        std::set<std::pair<std::string, std::uint32_t>> running;
    };
    struct Job {
        work::JobSpecT spec;
        std::map<workload::TaskKey, Task> tasks;
        std::uint32_t underWay = 0;
        bool hasStarted = false;
        bool isUnclear = false;
        bool isAccepted = false;
        Timestamp acceptedAt;
        bool isCancelSent = false;
        bool isCancelled = false;
        bool isUnknown = false;
        std::string state;
    };

    void add(const std::string &text);
    void checkRefused(const std::string &id, const Job &job);
    void checkStart(const workload::TaskKey &task, const Job &job);
    void checkAgain(const workload::TaskKey &task, const Job &job);
    void checkState(const std::string &id, Job &job, const std::string &state);
    static bool isStepDone(const std::string &id, const Job &job, std::uint32_t step);
    static bool hasFailed(const Job &job);
    static bool isLasting(const Job &job);
    static std::string unsettled(const std::string &id, const Job &job);

    absl::Mutex mutex;
    std::map<std::string, Job> jobs;
    std::map<std::uint64_t, std::string> sentConfigurations;
    std::vector<std::pair<Timestamp, std::uint64_t>> acknowledged;
    bool isDisturbed = false;
    std::vector<std::string> found;
    std::size_t starts = 0;
    std::size_t answers = 0;
};

} // namespace paddlepier::testing::soak

#endif
