// Why a worker's announcement isn't believed.

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

/** Names of workers, services and data centres are a few characters long; what is longer is no name, and would be kept in every replica. */
constexpr std::size_t longestName = 256;

/** Labels that one worker has: its kind and its rack; room for others. */
constexpr std::size_t mostLabels = 64;

/** A number that every writer of JSON gives exactly: 2^53 - 1. */
constexpr std::uint64_t mostSequence = 9'007'199'254'740'991;

/** Enough to find the sender; the id comes from outside and may be of any length. */
constexpr std::size_t mostLoggedCharacters = 64;

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
    const auto isName = [](const std::string &text) { return !text.empty() && text.size() <= longestName; };
    const auto require = [](bool holds, const char *problem) {
        if (!holds) {
            throw InvalidAnnouncementError(AnnouncementFault::FieldInvalid, problem);
        }
    };
    require(isName(worker.id), "id: not from 1 to 256 characters");
    require(isName(worker.service), "service: not from 1 to 256 characters");
    require(isName(worker.zone), "zone: not from 1 to 256 characters");
    require(isName(worker.address) && Endpoint::parse(worker.address).has_value(), "address: not a host and a port");
    require(worker.labels.size() <= mostLabels && std::all_of(worker.labels.begin(), worker.labels.end(), isName), "labels: not a short list of names");
    require(call.sequence <= mostSequence, "sequence: over 2^53 - 1");
}

void reportRefusedAnnouncement(Counters &counters, const std::string &worker, AnnouncementFault fault, const std::string &problem)
{
    counters.counter(absl::StrCat("announcements_refused_total{reason=\"", nameOf(fault), "\"}")).add();
    log::warning("workers",
                 "announcement.refused",
                 {{"worker", worker.substr(0, mostLoggedCharacters)}, {"reason", nameOf(fault)}, {"problem", problem.substr(0, mostLoggedCharacters)}});
}

} // namespace paddlepier::cluster
