// Selects the data centre in which the tasks of a step are kept together.

#include "paddlepier/planning/datacentreselector.h"

#include <algorithm>

namespace paddlepier::planning
{

namespace
{

/** Name of a data centre; empty for noDataCentre. */
std::string nameOrEmpty(const CapacityIndex &capacityIndex, std::uint32_t dataCentre)
{
    return dataCentre == noDataCentre ? std::string() : std::string(capacityIndex.dataCentreName(dataCentre));
}

/** The healthy data centre with the most @p slots, other than @p except. */
std::uint32_t withMostSlots(const CapacityIndex &capacityIndex, const std::vector<std::int64_t> &slots, std::uint32_t except)
{
    std::uint32_t best = noDataCentre;
    for (std::uint32_t dataCentre = 0; dataCentre < slots.size(); ++dataCentre) {
        const bool isCandidate = dataCentre != except && capacityIndex.isHealthy(dataCentre);
        if (isCandidate && (best == noDataCentre || slots[dataCentre] > slots[best])) {
            best = dataCentre;
        }
    }
    return best;
}

} // namespace

DataCentreChoice DataCentreSelector::select(const PendingStep &pending, const CapacityIndex &capacityIndex, double permittedShare)
{
    if (!pending.prefersOneDataCentre()) {
        return {};
    }
    const std::uint32_t inUse = capacityIndex.dataCentreOfStep();
    const auto existing = this->chosen.find(pending.key);
    if (existing != this->chosen.end()) {
        const DataCentreChoice choice{capacityIndex.dataCentreNamed(existing->second.preferred), capacityIndex.dataCentreNamed(existing->second.fallback)};
        const bool isInUse = inUse == noDataCentre || inUse == choice.preferred;
        if (isInUse && capacityIndex.isHealthy(choice.preferred)) {
            return choice;
        }
    }
    NamedChoice choice = choose(pending, capacityIndex, permittedShare);
    if (capacityIndex.isHealthy(inUse)) {
        // The data centre in which most of its tasks run becomes the preferred one.
        choice.fallback = choice.preferred == nameOrEmpty(capacityIndex, inUse) ? choice.fallback : choice.preferred;
        choice.preferred = nameOrEmpty(capacityIndex, inUse);
    }
    const NamedChoice &stored = this->chosen[pending.key] = std::move(choice);
    return {capacityIndex.dataCentreNamed(stored.preferred), capacityIndex.dataCentreNamed(stored.fallback)};
}

std::vector<std::string_view> DataCentreSelector::preferredNames(const PendingStep &pending, const CapacityIndex &capacityIndex)
{
    std::vector<std::string_view> names;
    const std::uint32_t dataCentreOfData = capacityIndex.dataCentreOfRack(pending.step->dataRack);
    if (dataCentreOfData != noDataCentre) {
        names.push_back(capacityIndex.dataCentreName(dataCentreOfData));
    }
    if (pending.job->queue().priority == 0 && !pending.job->spec().callersDataCentre.empty()) {
        names.push_back(pending.job->spec().callersDataCentre);
    }
    return names;
}

DataCentreSelector::NamedChoice DataCentreSelector::choose(const PendingStep &pending, const CapacityIndex &capacityIndex, double permittedShare)
{
    const std::vector<std::int64_t> slots = capacityIndex.slotsFor(pending);
    std::uint32_t preferred = noDataCentre;
    for (const std::string_view name : preferredNames(pending, capacityIndex)) {
        const std::uint32_t dataCentre = capacityIndex.dataCentreNamed(name);
        const bool isHealthy = capacityIndex.isHealthy(dataCentre);
        if (preferred == noDataCentre && isHealthy && static_cast<double>(slots[dataCentre]) * permittedShare >= static_cast<double>(pending.tasks.size())) {
            preferred = dataCentre;
        }
    }
    preferred = preferred == noDataCentre ? withMostSlots(capacityIndex, slots, noDataCentre) : preferred;
    return {nameOrEmpty(capacityIndex, preferred), nameOrEmpty(capacityIndex, withMostSlots(capacityIndex, slots, preferred))};
}

} // namespace paddlepier::planning
