// Reasons for refusing a worker's announcement.
//
// Announcements come from outside, and some from senders that aren't workers. A faulty one changes nothing: it neither
// adds, changes, drains nor removes a worker. Its sender gets a typed refusal, and a counter for each fault counts the
// refusals.
//
// Example:
//     throw InvalidAnnouncementError(AnnouncementFault::FieldMissing, "state: missing");
//
// Thread safety: values without shared state.

#ifndef PADDLEPIER_CLUSTER_ANNOUNCEMENTFAULT_H
#define PADDLEPIER_CLUSTER_ANNOUNCEMENTFAULT_H

#include "paddlepier/base/counters.h"
#include "paddlepier/base/error.h"
#include "paddlepier/wire/workload_generated.h"

#include <cstdint>
#include <string>

namespace paddlepier::cluster
{

enum class AnnouncementFault {
    /** The body can't be parsed. */
    Unreadable,
    FieldMissing,
    /** A field has the wrong type or is out of range. */
    FieldInvalid,
    UnknownState,
    /** The active configuration has no such service. */
    UnknownService,
    /** Far above what one incarnation of a worker can have counted since its last announcement. */
    ImplausibleSequence,
    /** The reported start of the sender is in the future. */
    ImplausibleBirth
};
const char *nameOf(AnnouncementFault fault);

class InvalidAnnouncementError : public InvalidArgumentError
{
public:
    InvalidAnnouncementError(AnnouncementFault why, const std::string &message);

    AnnouncementFault fault() const;

private:
    AnnouncementFault reason;
};

/**
 * Returns the result of @p read.
 *
 * @throws InvalidAnnouncementError with the fault that matches the error thrown by @p read
 */
template<typename Read>
auto readAnnouncement(Read read)
{
    try {
        return read();
    } catch (const MalformedBodyError &error) {
        throw InvalidAnnouncementError(AnnouncementFault::Unreadable, error.what());
    } catch (const InvalidAnnouncementError &) {
        throw;
    } catch (const InvalidArgumentError &error) {
        throw InvalidAnnouncementError(AnnouncementFault::FieldInvalid, error.what());
    }
}

/** Time that a draining worker has left if its announcement names none. */
constexpr std::int64_t noRemainingTime = -1;

/**
 * @throws InvalidAnnouncementError if a name, the address, a label or the sequence number of an announcement is invalid, or if a draining worker doesn't say
 *         how much time it has left
 */
void checkAnnouncement(const work::AnnounceCallT &call);

/** Counts a refused announcement and logs it. */
void reportRefusedAnnouncement(Counters &counters, const std::string &worker, AnnouncementFault fault, const std::string &problem);

} // namespace paddlepier::cluster

#endif
