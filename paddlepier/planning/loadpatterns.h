// Load patterns for replays that are hard to schedule: job kinds with their arrival rates, workers, and network partitions.
//
// Example:
//     LoadReplay replay(seed, quickBesideLongPattern(1.0));
//
// Thread safety: plain values.

#ifndef PADDLEPIER_PLANNING_LOADPATTERNS_H
#define PADDLEPIER_PLANNING_LOADPATTERNS_H

#include "paddlepier/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace paddlepier::planning
{

/** One kind of job: its queue, and the sizes and durations of its jobs, which are uniformly distributed between minimum and maximum. */
struct LoadKind {
    std::string queue;
    std::uint32_t priority = 0;
    double stretch = 2;
    std::uint32_t targetLatencyMillis = 1000;
    double jobsPerSecond = 1;
    std::uint32_t minTasks = 1;
    std::uint32_t maxTasks = 1;
    std::uint32_t milliProcessors = 1000;
    std::uint32_t memoryMegabytes = 100;
    /** Each job picks one of these values at random. */
    std::vector<std::uint32_t> accelerators{0};
    std::uint32_t minMillis = 500;
    std::uint32_t maxMillis = 1500;
    bool isGang = false;
    /** Share of jobs that save checkpoints. */
    double checkpointingShare = 0;
    /** Time of the policy service for each request and for each worker that it names; 0 if the queue needs no advice. */
    double decisionMillis = 0;
    double perWorkerMillis = 0;
    /** Share of workers that the policy service permits for a job. */
    double permittedShare = 1;
};

/** A period in which the workers of a data centre can't be reached; they continue their runs. */
struct NetworkPartition {
    std::uint32_t dataCentre = 0;
    Duration start = absl::InfiniteDuration();
    Duration duration = absl::Seconds(5);
};

struct LoadPattern {
    std::uint32_t workers = 12;
    std::uint32_t dataCentres = 4;
    std::uint32_t milliProcessors = 64'000;
    std::uint32_t memoryMegabytes = 131'072;
    std::uint32_t accelerators = 8;
    std::vector<LoadKind> kinds;
    NetworkPartition partition;
    /** Instances that can call the policy service, each with one request at a time. */
    std::size_t adviceInstances = std::numeric_limits<std::size_t>::max();
};

/**
 * Workers of 16 processors in five data centres, 70 % utilized at @p load 1: quick jobs of many tasks whose callers wait in one
 * of the data centres, beside long jobs that save checkpoints.
 */
inline LoadPattern quickBesideLongPattern(double load)
{
    LoadKind quick;
    quick.queue = "quick";
    quick.stretch = 1.5;
    quick.targetLatencyMillis = 250;
    quick.jobsPerSecond = 21.8 * load;
    quick.minTasks = 4;
    quick.maxTasks = 22;
    quick.milliProcessors = 3500;
    quick.minMillis = 600;
    quick.maxMillis = 1400;
    quick.decisionMillis = 33;
    quick.perWorkerMillis = 0.47;
    quick.permittedShare = 0.7;
    LoadKind longJobs;
    longJobs.queue = "long";
    longJobs.priority = 2;
    longJobs.stretch = 2.2;
    longJobs.targetLatencyMillis = 1200;
    longJobs.jobsPerSecond = 4.2 * load;
    longJobs.minTasks = 8;
    longJobs.maxTasks = 44;
    longJobs.milliProcessors = 4500;
    longJobs.minMillis = 3600;
    longJobs.maxMillis = 8400;
    longJobs.checkpointingShare = 0.8;
    longJobs.decisionMillis = 430;
    longJobs.perWorkerMillis = 6.1;
    longJobs.permittedShare = 0.7;
    LoadPattern pattern;
    pattern.workers = 350;
    pattern.dataCentres = 5;
    pattern.milliProcessors = 16'000;
    pattern.memoryMegabytes = 32'768;
    pattern.accelerators = 0;
    pattern.kinds = {quick, longJobs};
    return pattern;
}

/**
 * Workers of 32 processors and long jobs of many large tasks, most of which save checkpoints; at @p load 1 their demand about equals the
 * capacity. Each request takes the policy service a seventh of a task's duration, and it permits a third of the workers.
 */
inline LoadPattern longJobsPattern(double load)
{
    LoadKind longJobs;
    longJobs.queue = "long";
    longJobs.priority = 2;
    longJobs.stretch = 2.2;
    longJobs.targetLatencyMillis = 1200;
    longJobs.jobsPerSecond = 2.4 * load;
    longJobs.minTasks = 6;
    longJobs.maxTasks = 36;
    longJobs.milliProcessors = 9000;
    longJobs.memoryMegabytes = 9100;
    longJobs.minMillis = 1900;
    longJobs.maxMillis = 5700;
    longJobs.checkpointingShare = 0.8;
    longJobs.decisionMillis = 494;
    longJobs.perWorkerMillis = 7.15;
    longJobs.permittedShare = 0.35;
    LoadPattern pattern;
    pattern.workers = 64;
    pattern.dataCentres = 3;
    pattern.milliProcessors = 32'000;
    pattern.memoryMegabytes = 65'536;
    pattern.accelerators = 0;
    pattern.kinds = {longJobs};
    return pattern;
}

/**
 * Accelerators at about 80 % utilization at @p load 1: gangs of one or two tasks that need two, four or all eight accelerators of a worker,
 * and many small tasks of less urgent jobs that need one.
 */
inline LoadPattern wideTasksPattern(double load)
{
    LoadKind wide;
    wide.queue = "wide";
    wide.priority = 1;
    wide.stretch = 2.2;
    wide.jobsPerSecond = 1.84 * load;
    wide.maxTasks = 2;
    wide.milliProcessors = 31'000;
    wide.memoryMegabytes = 45'000;
    wide.accelerators = {2, 4, 8, 8};
    wide.minMillis = 1800;
    wide.maxMillis = 5400;
    wide.isGang = true;
    wide.checkpointingShare = 0.9;
    wide.decisionMillis = 490;
    wide.perWorkerMillis = 7;
    wide.permittedShare = 0.35;
    LoadKind small;
    small.queue = "small";
    small.priority = 2;
    small.stretch = 4;
    small.targetLatencyMillis = 3000;
    small.jobsPerSecond = 1.9 * load;
    small.minTasks = 1;
    small.maxTasks = 7;
    small.milliProcessors = 5600;
    small.memoryMegabytes = 11'000;
    small.accelerators = {1};
    small.minMillis = 1900;
    small.maxMillis = 5700;
    small.checkpointingShare = 0.8;
    small.decisionMillis = 140;
    small.perWorkerMillis = 2;
    small.permittedShare = 0.45;
    LoadPattern pattern;
    pattern.workers = 13;
    pattern.kinds = {wide, small};
    return pattern;
}

/**
 * Workers of 16 processors, 80 % utilized at @p load 1: many quick jobs, gangs of many large tasks, and jobs of many small tasks
 * that save checkpoints. At a higher load thousands of tasks wait while few instances call the policy service.
 */
inline LoadPattern backlogPattern(double load)
{
    LoadKind gangs;
    gangs.queue = "gangs";
    gangs.priority = 1;
    gangs.stretch = 2.2;
    gangs.jobsPerSecond = 4.2 * load;
    gangs.minTasks = 4;
    gangs.maxTasks = 36;
    gangs.milliProcessors = 4500;
    gangs.memoryMegabytes = 9100;
    gangs.minMillis = 2500;
    gangs.maxMillis = 7500;
    gangs.isGang = true;
    gangs.checkpointingShare = 0.5;
    gangs.decisionMillis = 572;
    gangs.perWorkerMillis = 8;
    gangs.permittedShare = 0.3;
    LoadKind wide;
    wide.queue = "wide";
    wide.priority = 2;
    wide.stretch = 4;
    wide.targetLatencyMillis = 3000;
    wide.jobsPerSecond = 24 * load;
    wide.minTasks = 5;
    wide.maxTasks = 45;
    wide.milliProcessors = 1700;
    wide.memoryMegabytes = 6400;
    wide.minMillis = 1100;
    wide.maxMillis = 3300;
    wide.checkpointingShare = 0.8;
    wide.decisionMillis = 104;
    wide.perWorkerMillis = 1.4;
    wide.permittedShare = 0.45;
    LoadKind quick;
    quick.queue = "quick";
    quick.stretch = 1.5;
    quick.targetLatencyMillis = 250;
    quick.jobsPerSecond = 82 * load;
    quick.minTasks = 1;
    quick.maxTasks = 5;
    quick.milliProcessors = 2500;
    quick.memoryMegabytes = 9100;
    quick.minMillis = 400;
    quick.maxMillis = 1200;
    quick.decisionMillis = 11.7;
    quick.perWorkerMillis = 0.17;
    quick.permittedShare = 0.7;
    LoadPattern pattern;
    pattern.workers = 350;
    pattern.dataCentres = 3;
    pattern.milliProcessors = 16'000;
    pattern.memoryMegabytes = 65'536;
    pattern.accelerators = 0;
    pattern.kinds = {gangs, wide, quick};
    pattern.adviceInstances = 46;
    return pattern;
}

/**
 * Workers of 16 processors: quick jobs that take about a tenth of them, and jobs of many small tasks, whose demand together equals the capacity
 * at @p load 1. Each request takes the policy service a tenth of a task's duration, and it permits less than half of the workers.
 */
inline LoadPattern batchBacklogPattern(double load)
{
    LoadKind quick;
    quick.queue = "quick";
    quick.stretch = 1.5;
    quick.targetLatencyMillis = 250;
    quick.jobsPerSecond = 82;
    quick.maxTasks = 5;
    quick.milliProcessors = 2500;
    quick.minMillis = 400;
    quick.maxMillis = 1200;
    quick.decisionMillis = 11.7;
    quick.perWorkerMillis = 0.17;
    quick.permittedShare = 0.7;
    LoadKind batch;
    batch.queue = "batch";
    batch.priority = 2;
    batch.stretch = 4;
    batch.targetLatencyMillis = 3000;
    batch.jobsPerSecond = 59.9 * load - 5.3;
    batch.maxTasks = 49;
    batch.milliProcessors = 1700;
    batch.minMillis = 1100;
    batch.maxMillis = 3300;
    batch.checkpointingShare = 0.8;
    batch.decisionMillis = 104;
    batch.perWorkerMillis = 1.43;
    batch.permittedShare = 0.45;
    LoadPattern pattern;
    pattern.workers = 350;
    pattern.dataCentres = 3;
    pattern.milliProcessors = 16'000;
    pattern.memoryMegabytes = 65'536;
    pattern.accelerators = 0;
    pattern.kinds = {quick, batch};
    pattern.adviceInstances = 40;
    return pattern;
}

} // namespace paddlepier::planning

#endif
