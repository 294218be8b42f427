// In which data centre the tasks of a step are kept together.

#include "paddlepier/planning/datacentreselector.h"

#include <algorithm>

namespace paddlepier::planning
{

namespace
{

/** Name of a data centre; empty for none. */
std::string nameOf(const CapacityIndex &rooms, std::uint32_t dataCentre)
{
    return dataCentre == noDataCentre ? std::string() : std::string(rooms.dataCentreName(dataCentre));
}

/** The sound data centre with the most of @p slots besides @p except. */
std::uint32_t roomiest(const CapacityIndex &rooms, const std::vector<std::int64_t> &slots, std::uint32_t except)
{
    std::uint32_t best = noDataCentre;
    for (std::uint32_t dataCentre = 0; dataCentre < slots.size(); ++dataCentre) {
        const bool isOpen = dataCentre != except && rooms.isHealthy(dataCentre);
        if (isOpen && (best == noDataCentre || slots[dataCentre] > slots[best])) {
            best = dataCentre;
        }
    }
    return best;
}

} // namespace

DataCentreChoice DataCentreSelector::select(const PendingStep &wanted, const CapacityIndex &rooms, double permittedShare)
{
    if (!wanted.prefersOneDataCentre()) {
        return {};
    }
    const std::uint32_t inUse = rooms.dataCentreOfStep();
    const auto known = this->chosen.find(wanted.key);
    if (known != this->chosen.end()) {
        const DataCentreChoice home{rooms.dataCentreNamed(known->second.preferred), rooms.dataCentreNamed(known->second.fallback)};
        const bool isInUse = inUse == noDataCentre || inUse == home.preferred;
        if (isInUse && rooms.isHealthy(home.preferred)) {
            return home;
        }
    }
    NamedChoice choice = choose(wanted, rooms, permittedShare);
    if (rooms.isHealthy(inUse)) {
        // What it has elsewhere draws the rest there.
        choice.fallback = choice.preferred == nameOf(rooms, inUse) ? choice.fallback : choice.preferred;
        choice.preferred = nameOf(rooms, inUse);
    }
    const NamedChoice &kept = this->chosen[wanted.key] = std::move(choice);
    return {rooms.dataCentreNamed(kept.preferred), rooms.dataCentreNamed(kept.fallback)};
}

std::vector<std::string_view> DataCentreSelector::preferredNames(const PendingStep &wanted, const CapacityIndex &rooms)
{
    std::vector<std::string_view> names;
    const std::uint32_t ofData = rooms.dataCentreOfRack(wanted.step->dataRack);
    if (ofData != noDataCentre) {
        names.push_back(rooms.dataCentreName(ofData));
    }
    if (wanted.job->queue().priority == 0 && !wanted.job->spec().callersDataCentre.empty()) {
        names.push_back(wanted.job->spec().callersDataCentre);
    }
    return names;
}

DataCentreSelector::NamedChoice DataCentreSelector::choose(const PendingStep &wanted, const CapacityIndex &rooms, double permittedShare)
{
    const std::vector<std::int64_t> slots = rooms.slotsFor(wanted);
    std::uint32_t first = noDataCentre;
    for (const std::string_view name : preferredNames(wanted, rooms)) {
        const std::uint32_t dataCentre = rooms.dataCentreNamed(name);
        const bool isSound = rooms.isHealthy(dataCentre);
        if (first == noDataCentre && isSound && static_cast<double>(slots[dataCentre]) * permittedShare >= static_cast<double>(wanted.tasks.size())) {
            first = dataCentre;
        }
    }
    first = first == noDataCentre ? roomiest(rooms, slots, noDataCentre) : first;
    return {nameOf(rooms, first), nameOf(rooms, roomiest(rooms, slots, first))};
}

} // namespace paddlepier::planning
