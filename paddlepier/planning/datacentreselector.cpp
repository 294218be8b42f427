// In which data centre the tasks of a step are kept together.

#include "paddlepier/planning/datacentreselector.h"

#include <algorithm>

namespace paddlepier::planning
{

namespace
{

/** Name of a data centre; empty for none. */
std::string nameOf(const Rooms &rooms, std::uint32_t dataCentre)
{
    return dataCentre == noHome ? std::string() : std::string(rooms.dataCentreName(dataCentre));
}

/** The sound data centre with the most of @p slots besides @p except. */
std::uint32_t roomiest(const Rooms &rooms, const std::vector<std::int64_t> &slots, std::uint32_t except)
{
    std::uint32_t best = noHome;
    for (std::uint32_t dataCentre = 0; dataCentre < slots.size(); ++dataCentre) {
        const bool isOpen = dataCentre != except && rooms.isSound(dataCentre);
        if (isOpen && (best == noHome || slots[dataCentre] > slots[best])) {
            best = dataCentre;
        }
    }
    return best;
}

} // namespace

Home Homes::of(const WantedStep &wanted, const Rooms &rooms, double permittedShare)
{
    if (!wanted.isServedAsAWhole()) {
        return {};
    }
    const std::uint32_t inUse = rooms.dataCentreOfStep();
    const auto known = this->chosen.find(wanted.key);
    if (known != this->chosen.end()) {
        const Home home{rooms.dataCentreNamed(known->second.first), rooms.dataCentreNamed(known->second.reserve)};
        const bool isInUse = inUse == noHome || inUse == home.first;
        if (isInUse && rooms.isSound(home.first)) {
            return home;
        }
    }
    Choice choice = choose(wanted, rooms, permittedShare);
    if (rooms.isSound(inUse)) {
        // What it has elsewhere draws the rest there.
        choice.reserve = choice.first == nameOf(rooms, inUse) ? choice.reserve : choice.first;
        choice.first = nameOf(rooms, inUse);
    }
    const Choice &kept = this->chosen[wanted.key] = std::move(choice);
    return {rooms.dataCentreNamed(kept.first), rooms.dataCentreNamed(kept.reserve)};
}

std::vector<std::string_view> Homes::preferred(const WantedStep &wanted, const Rooms &rooms)
{
    std::vector<std::string_view> names;
    const std::uint32_t ofData = rooms.dataCentreOfRack(wanted.step->dataRack);
    if (ofData != noHome) {
        names.push_back(rooms.dataCentreName(ofData));
    }
    if (wanted.job->queue().priority == 0 && !wanted.job->spec().callersDataCentre.empty()) {
        names.push_back(wanted.job->spec().callersDataCentre);
    }
    return names;
}

Homes::Choice Homes::choose(const WantedStep &wanted, const Rooms &rooms, double permittedShare)
{
    const std::vector<std::int64_t> slots = rooms.slotsFor(wanted);
    std::uint32_t first = noHome;
    for (const std::string_view name : preferred(wanted, rooms)) {
        const std::uint32_t dataCentre = rooms.dataCentreNamed(name);
        const bool isSound = rooms.isSound(dataCentre);
        if (first == noHome && isSound && static_cast<double>(slots[dataCentre]) * permittedShare >= static_cast<double>(wanted.tasks.size())) {
            first = dataCentre;
        }
    }
    first = first == noHome ? roomiest(rooms, slots, noHome) : first;
    return {nameOf(rooms, first), nameOf(rooms, roomiest(rooms, slots, first))};
}

} // namespace paddlepier::planning
