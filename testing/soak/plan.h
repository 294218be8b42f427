// The faults of one seed, and when each begins and ends.
//
// Faults follow each other at random and may overlap without limit. Only a disk is lost at most once, which is as many as the
// settings tolerate. A plan may begin with a quiet phase that contains planned stops only. Seeds from firstSeriesSeed on have, in
// addition, series of planned stops and of broken connections between cores, first without other faults and then among them. Seeds from
// firstReplacementSeed on begin with planned replacements of cores, each with the loss of another core close behind it.
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
    /** A planned stop after which an empty core starts in its place. */
    ReplaceCore,
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
    BreakCoreLinks,
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
    /** Number of the core, entry or worker; for links, of the core or entry at one end. Not used for BreakCoreLinks, which affects the leader. */
    std::uint32_t target = 0;
    /** For a reduced capacity, its size in parts of maxPart. For links, 0 affects all links of the target, another number selects a third of them. */
    std::uint32_t part = 0;

    bool operator==(const Fault &) const = default;
    std::string text() const;
};

/** Sorted by time; the same for the same arguments. For a seed with series, these are the faults of the seed less firstSeriesSeed, and series among them. */
std::vector<Fault> planFaults(std::uint64_t seed, const Sizes &sizes);

/** Seeds from here on have series. Smaller ones keep their recorded plans. */
constexpr std::uint64_t firstSeriesSeed = 10'000'000'000;

bool hasSeries(std::uint64_t seed);

/** Seeds from here on have replacements, for which a fourth core stands by. */
constexpr std::uint64_t firstReplacementSeed = 20'000'000'000;
constexpr std::uint32_t coresForReplacements = 4;

bool hasReplacements(std::uint64_t seed);

/**
 * Phase before planFaults() for a seed with replacements; empty for others. In each round a core is replaced as planned, and 0 to 3 s later another
 * one loses its disk; both are back and caught up before the next round. Sorted by time.
 */
std::vector<Fault> planReplacements(std::uint64_t seed, const Sizes &sizes);

/**
 * Phase before planFaults() for a seed with series; empty for others. The entries are stopped one after the other, at first without faults. Then the
 * connections from the other cores to the leader are broken repeatedly, too briefly for an election. Sorted by time.
 */
std::vector<Fault> planSeries(std::uint64_t seed, const Sizes &sizes);

} // namespace paddlepier::testing::soak

#endif
