// Why a worker's announcement isn't believed.
//
// Announcements come from outside, and some from other writers than workers. One with a fault changes nothing: no worker is
// added, changed, drained or removed by it. Its sender gets a typed refusal, and a counter for each fault tells how many came.
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

#include <string>

namespace paddlepier::cluster
{

enum class AnnouncementFault {
    /** The bytes are no record at all. */
    Unreadable,
    FieldMissing,
    /** A field is of another type or out of its range. */
    FieldInvalid,
    UnknownState,
    /** The configuration in force names no such service. */
    UnknownService,
    /** Far beyond what one life of a worker can have counted since its last announcement. */
    ImplausibleSequence,
    /** Its sender was born in the future. */
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
 * What @p read gives.
 *
 * @throws InvalidAnnouncementError with the fault that its failure stands for
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

/** @throws InvalidAnnouncementError if a name, the address or the number of an announcement can't be a worker's */
void checkAnnouncement(const work::AnnounceCallT &call);

/** Counts a refused announcement, and writes one line about it. */
void reportRefusedAnnouncement(Counters &counters, const std::string &worker, AnnouncementFault fault, const std::string &problem);

} // namespace paddlepier::cluster

#endif
