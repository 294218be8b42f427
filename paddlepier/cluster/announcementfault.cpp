// Reasons for refusing a worker's announcement.

#include "paddlepier/cluster/announcementfault.h"

#include "paddlepier/base/log.h"
#include "paddlepier/settings/settings.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace paddlepier::cluster
{

namespace
{

/** Names of workers, services and data centres have a few characters. A longer text is no name, and would be stored in every replica. */
constexpr std::size_t maxNameLength = 256;

/** A worker has a label for its kind and one for its rack; the rest of the bound is left for others. */
constexpr std::size_t maxLabels = 64;

/** 2^53 - 1: the largest integer that every JSON writer represents exactly. */
constexpr std::uint64_t maxSequence = 9'007'199'254'740'991;

/** Enough to identify the sender; the id comes from outside and may have any length. */
constexpr std::size_t maxLoggedCharacters = 64;

} // namespace

const char *nameOf(AnnouncementFault fault)
{
    static constexpr std::array<const char *, 7> names{
        "unreadable", "field-missing", "field-invalid", "unknown-state", "unknown-service", "implausible-sequence", "implausible-birth"};
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

void checkAnnouncement(const work::AnnounceCallT &call)
{
    const work::RegisterWorkerT &worker = *call.registration;
    const auto isName = [](const std::string &text) { return !text.empty() && text.size() <= maxNameLength; };
    const auto require = [](bool holds, const char *problem) {
        if (!holds) {
            throw InvalidAnnouncementError(AnnouncementFault::FieldInvalid, problem);
        }
    };
    require(isName(worker.id), "id: must have from 1 to 256 characters");
    require(isName(worker.service), "service: must have from 1 to 256 characters");
    require(isName(worker.zone), "zone: must have from 1 to 256 characters");
    require(isName(worker.address) && Endpoint::parse(worker.address).has_value(), "address: must be host:port of at most 256 characters");
    require(worker.labels.size() <= maxLabels && std::all_of(worker.labels.begin(), worker.labels.end(), isName),
            "labels: must be at most 64 names of 1 to 256 characters");
    require(call.sequence <= maxSequence, "sequence: exceeds the maximum of 2^53 - 1");
    // A drain is never taken back, so that a record which doesn't tell when it ends must not begin one.
    if (worker.isDraining && call.drainRemainingMillis == noRemainingTime) {
        throw InvalidAnnouncementError(AnnouncementFault::FieldMissing, "remaining time of a draining worker: missing");
    }
}

void reportRefusedAnnouncement(Counters &counters, const std::string &worker, AnnouncementFault fault, const std::string &problem)
{
    counters.counter(absl::StrCat("announcements_refused_total{reason=\"", nameOf(fault), "\"}")).add();
    log::warning("workers",
                 "announcement.refused",
                 {{"worker", worker.substr(0, maxLoggedCharacters)}, {"reason", nameOf(fault)}, {"problem", problem.substr(0, maxLoggedCharacters)}});
}

} // namespace paddlepier::cluster
