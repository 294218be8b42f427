// The faults of one seed, and when each begins and ends.
//
// Faults follow each other at random and may overlap without limit. Only a disk is lost at most once, which is as many as the
// settings tolerate. A plan may begin with a quiet phase that contains planned stops only.
//
// Thread safety: plain values and a function without state.

#ifndef PADDLEPIER_TESTING_SOAK_PLAN_H
#define PADDLEPIER_TESTING_SOAK_PLAN_H

#include "paddlepier/base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace paddlepier::testing::soak
{

enum class FaultKind {
    StopCore,
    StopEntry,
    KillCore,
    KillEntry,
    KillAllCores,
    PauseCore,
    PauseEntry,
    LoseDisk,
    DelayLinks,
    ResetLinks,
    CutLinks,
    SilenceLinks,
    CrashWorker,
    DrainWorker,
    DelayWorkerAnswers,
    LoseWorkerAnswers,
    DelayWorkerOrders,
    ReduceCapacity
};

std::string nameOf(FaultKind kind);

/** Planned stops do not count as faults: as long as nothing else happens, no call may be cut. */
bool isPlanned(FaultKind kind);

struct Sizes {
    std::uint32_t cores = 3;
    std::uint32_t entries = 3;
    std::uint32_t workers = 12;
    Duration faults = absl::Seconds(12);
};

/** Greatest Fault::part. */
constexpr std::uint32_t maxPart = 1000;

struct Fault {
    /** Relative to the start of the calls. */
    Duration at;
    /** Until the process restarts or the link is restored; zero for a reset or silence. */
    Duration length;
    FaultKind kind = FaultKind::KillCore;
    /** Number of the core, entry or worker; for links, of the core or entry at one end. */
    std::uint32_t target = 0;
    /** For a reduced capacity, its size in parts of maxPart. For links, 0 affects all links of the target, another number selects a third of them. */
    std::uint32_t part = 0;

    bool operator==(const Fault &) const = default;
    std::string text() const;
};

/** Sorted by time; the same for the same arguments. */
std::vector<Fault> planFaults(std::uint64_t seed, const Sizes &sizes);

} // namespace paddlepier::testing::soak

#endif
