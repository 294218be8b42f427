// Where one run stands between its placement and its end, as the leader's dispatcher knows it.
//
// Thread safety: plain values; owned by the dispatcher.

#ifndef PADDLEPIER_EXECUTION_RUNTRACK_H
#define PADDLEPIER_EXECUTION_RUNTRACK_H

#include "paddlepier/base/clock.h"
#include "paddlepier/workload/incarnation.h"
#include "paddlepier/workload/taskkey.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace paddlepier::execution
{

enum class RunPhase {
    /** Placed; the worker hasn't confirmed the start. */
    Starting,
    Running,
    /** Is to end, or must be kept from starting. */
    Stopping
};

/**
 * A run that its worker has answered for this long with, since it began, didn't take it down by starting. Longer than the
 * start-up of a lasting task (4 s), and short enough to keep other work off a worker meanwhile.
 */
constexpr Duration settledAfter = absl::Seconds(5);

enum class StopReason { None, JobEnded, Preempted, StandsStill, WorkerLeaves, StartUnsettled, Disturbs, GangIncomplete, RoomShrunk, QuotaLowered, Evacuated };
const char *nameOf(StopReason reason);

struct RunTrack {
    std::uint32_t run = 0;
    workload::Life worker;
    RunPhase phase = RunPhase::Starting;
    std::string ticket;
    Timestamp ticketValidUntil = absl::InfiniteFuture();
    /**
     * Placed by an earlier leader, and no start of it was sent since: once the worker has answered this term's leader, which
     * fences the earlier ones off it, the run can't begin any more.
     */
    bool isAdopted = false;
    /** When the worker last listed a run of this task as running. */
    Timestamp listedAt = absl::InfinitePast();
    /** A start got no answer: the worker may carry it out later. */
    bool mayStartLate = false;
    bool callInFlight = false;
    /** The worker has confirmed that the run is over, or can't begin any more; its end may still be listed. */
    Timestamp settledAt = absl::InfiniteFuture();
    Timestamp nextCall = absl::InfinitePast();
    std::uint32_t startCalls = 0;
    Timestamp placedAt;
    Timestamp runningSince = absl::InfiniteFuture();
    std::uint32_t percent = 0;
    /** When the percentage last rose, and what it was when it was first seen. */
    Timestamp progressAt = absl::InfinitePast();
    std::uint32_t firstPercent = 0;
    Timestamp firstPercentAt = absl::InfiniteFuture();
    std::uint32_t load = 0;
    /** The pace that its worker has confirmed; nothing where an earlier leader, or an order without an answer, may have left another. */
    std::optional<std::uint32_t> pace = 100;
    bool isPaceInFlight = false;
    std::string checkpoint;

    /** It has run for settledAfter at @p then. */
    bool isSettledAt(Timestamp then) const
    {
        return this->runningSince < absl::InfiniteFuture() && then - this->runningSince >= settledAfter;
    }
};

using RunTracks = std::map<workload::TaskKey, RunTrack>;

} // namespace paddlepier::execution

#endif
