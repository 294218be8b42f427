// Why a worker's announcement isn't believed.

#include "paddlepier/cluster/announcementfault.h"

#include "paddlepier/base/log.h"

#include <absl/strings/str_cat.h>

#include <array>

namespace paddlepier::cluster
{

namespace
{

/** Enough to find the sender; the id comes from outside and may be of any length. */
constexpr std::size_t mostLoggedCharacters = 64;

} // namespace

const char *nameOf(AnnouncementFault fault)
{
    static constexpr std::array<const char *, 6> names{
        "unreadable", "field-missing", "field-invalid", "unknown-state", "unknown-service", "implausible-sequence"};
    return names.at(static_cast<std::size_t>(fault));
}

InvalidAnnouncementError::InvalidAnnouncementError(AnnouncementFault why, const std::string &message)
    : InvalidArgumentError(message)
    , reason(why)
{
}

AnnouncementFault InvalidAnnouncementError::fault() const
{
    return this->reason;
}

void noteRefusedAnnouncement(Counters &counters, const std::string &worker, AnnouncementFault fault, const std::string &problem)
{
    counters.counter(absl::StrCat("announcements_refused_total{reason=\"", nameOf(fault), "\"}")).add();
    log::warning("workers",
                 "announcement.refused",
                 {{"worker", worker.substr(0, mostLoggedCharacters)}, {"reason", nameOf(fault)}, {"problem", problem.substr(0, mostLoggedCharacters)}});
}

} // namespace paddlepier::cluster
