// The state of one run between its placement and its end, as the leader's dispatcher knows it.
//
// Thread safety: plain values; owned by the dispatcher.

#ifndef PADDLEPIER_EXECUTION_RUNTRACK_H
#define PADDLEPIER_EXECUTION_RUNTRACK_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/sendpermit.h"
#include "paddlepier/workload/incarnation.h"
#include "paddlepier/workload/taskkey.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace paddlepier::execution
{

enum class RunPhase {
    /** Placed, but the worker hasn't confirmed the start. */
    Starting,
    Running,
    /** Must end, or must be prevented from starting. */
    Stopping
};

/**
 * A run counts as settled when its worker has still answered this long after the run started: then starting it did not crash the worker. Longer than
 * the start-up of a lasting task (4 s), and short enough that other work is kept off the worker only briefly.
 */
constexpr Duration settlingTime = absl::Seconds(5);

/**
 * Why a run is stopped. StandsStill: it has stalled. StartUnsettled: its start may still be executed and must be prevented. Disturbs: it is a
 * filling run that interferes with serving runs. RoomShrunk: the capacity of its worker was reduced. Ineligible: its worker doesn't offer what the step
 * requires any more.
 */
enum class StopReason {
    None,
    JobEnded,
    Preempted,
    StandsStill,
    WorkerLeaves,
    StartUnsettled,
    Disturbs,
    GangIncomplete,
    RoomShrunk,
    QuotaLowered,
    Evacuated,
    Ineligible
};
const char *nameOf(StopReason reason);

struct RunTrack {
    std::uint32_t run = 0;
    workload::Incarnation worker;
    RunPhase phase = RunPhase::Starting;
    std::string ticket;
    Timestamp ticketValidUntil = absl::InfiniteFuture();
    /**
     * Placed by an earlier leader, and not started by this one. Once the worker has answered this term's leader, which fences off earlier leaders,
     * the run can't start any more.
     */
    bool isAdopted = false;
    /** When the worker last listed a run of this task, under any run number. */
    Timestamp listedAt = absl::InfinitePast();
    /** A start got no answer, so that the worker may still execute it later. */
    bool mayStartLate = false;
    bool isCallInFlight = false;
    /** When the worker confirmed that the run has ended or can't start any more; its end may still be listed. */
    Timestamp settledAt = absl::InfiniteFuture();
    Timestamp nextCall = absl::InfinitePast();
    std::uint32_t startCalls = 0;
    /** End of the latest lease, on the worker's clock, with which a start was sent. */
    std::int64_t startLeaseEnd = 0;
    /** When the run was to be stopped; infinite before. */
    Timestamp stopRequestedAt = absl::InfiniteFuture();
    /** Orders that checked whether the worker executes orders, since the last one that it answered, and when it answered the last one. */
    std::uint32_t verifyCalls = 0;
    /** Such an order, or the log entry before it, is under way; then isCallInFlight is set too, and refers to it. */
    bool isVerifyInFlight = false;
    Timestamp verifiedAt = absl::InfinitePast();
    /** Set while a start that was sent is wanted. */
    std::shared_ptr<const StartToken> startToken;
    Timestamp placedAt;
    Timestamp runningSince = absl::InfiniteFuture();
    std::uint32_t percent = 0;
    /** When the percentage last rose, and its value when it was first seen. */
    Timestamp progressAt = absl::InfinitePast();
    std::uint32_t firstPercent = 0;
    Timestamp firstPercentAt = absl::InfiniteFuture();
    std::uint32_t load = 0;
    /**
     * The speed limit that the worker has confirmed, in per cent. Empty where an earlier leader, or an order without an answer, may have set another
     * one.
     */
    std::optional<std::uint32_t> pace = 100;
    bool isPaceInFlight = false;
    std::string checkpoint;

    /** The worker has accepted the start or listed the run. */
    bool isConfirmed() const
    {
        return this->runningSince < absl::InfiniteFuture();
    }

    /** A start may have reached the worker, or may still reach it. */
    bool mayHaveReachedWorker() const
    {
        return this->isAdopted || this->mayStartLate || (this->phase == RunPhase::Starting && this->isCallInFlight && !this->isVerifyInFlight);
    }

    /** True if the run had been running for settlingTime at @p then. */
    bool isSettledAt(Timestamp then) const
    {
        return this->runningSince < absl::InfiniteFuture() && then - this->runningSince >= settlingTime;
    }
};

using RunTracks = std::map<workload::TaskKey, RunTrack>;

} // namespace paddlepier::execution

#endif
