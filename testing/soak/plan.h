// The faults of one seed, and when each begins and ends.
//
// Faults come in series and overlap: nothing keeps one from beginning while others last. Only a disk is lost at most once,
// as many as the settings tolerate. A plan may begin with a quiet time, in which nothing but planned stops happens.
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
    WorkerAnswersLate,
    WorkerLosesAnswers,
    WorkerOrdersLate,
    ShrinkRoom
};

std::string nameOf(FaultKind kind);

/** A planned stop isn't a fault for the promise that no call is cut. */
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
    /** Since the start of the calls. */
    Duration at;
    /** Until the process is back or the link whole; nothing for a reset or silence. */
    Duration length;
    FaultKind kind = FaultKind::KillCore;
    /** Number of the core, entry or worker; of links, of the core or entry at one end. */
    std::uint32_t target = 0;
    /** Of a shrinking room, what it shrinks to. Of links, which of those of the target: a number that the links divide among themselves, or 0 for all. */
    std::uint32_t part = 0;

    bool operator==(const Fault &) const = default;
    std::string text() const;
};

/** Sorted by time; the same for the same arguments. */
std::vector<Fault> planFaults(std::uint64_t seed, const Sizes &sizes);

} // namespace paddlepier::testing::soak

#endif
