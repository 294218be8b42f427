// Allocation of workers' slots to the entry instances of a data centre.
//
// The leader of the ledger divides the slots of each worker into shares. An entry instance uses no more slots than its
// share, and only until the lease of the share ends, so that all entry instances together never exceed a worker's slots.
//
// For each entry instance and worker, the allocator counts the most slots that may be in use: the maximum of the slots
// that the instance reported as held, those it reported as in use, and those granted since. An unresponsive instance
// keeps what it held until its lease and the longest request that it may have sent have ended. A new leader grants
// nothing beyond what the instances report until each of them has reported or its share must have expired. Reports of a
// recently restarted instance don't count for this, because it doesn't know which requests its earlier process sent. The
// slots of a worker that no earlier leader knew are allocated at once.
//
// A reply holds only the changes since the last reply that the instance received, which keeps renewals of many shares
// cheap.
//
// Example:
//     wire::SharesReplyT reply = allocator.allocate(now, request, workers);
//
// Thread safety: none; owned by the control thread. allocate() is O(workers * entries of the partner).

#ifndef PADDLEPIER_ROUTING_SHAREALLOCATOR_H
#define PADDLEPIER_ROUTING_SHAREALLOCATOR_H

#include "paddlepier/base/clock.h"
#include "paddlepier/wire/api_generated.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace paddlepier::routing
{

/** A worker that serves quick requests. */
struct ServingWorker {
    std::string name;
    std::string address;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /** Lower bound of the current reading of the worker's own clock. */
    std::int64_t clockMicros = 0;
    /** First registered under this leader, so that no earlier leader can have allocated its slots. */
    bool isNewUnderThisLeader = false;
};

/** Safety checks. Only tests disable them, to show that the tests detect the resulting violations. */
struct ShareGuards {
    /** Count the slots that an entry instance held until it confirms fewer or can no longer use them. */
    bool countHeld = true;
    /** A new leader redistributes slots only after every entry instance has reported. */
    bool waitForEntries = true;
};

struct ShareTiming {
    Duration lease;
    Duration maxRequestTime;
    /** Largest rate difference between two clocks. */
    std::uint32_t driftPerMille = 10;
};

class ShareAllocator
{
public:
    /**
     * @param entriesByPartner all entry instances of this data centre
     * @param since when this leader was elected
     */
    ShareAllocator(std::map<std::string, std::vector<std::string>> entriesByPartner, ShareTiming shareTiming, Timestamp since, ShareGuards shareGuards = {});

    /**
     * Handles the request of one entry instance. @p workers are those of its partner that may receive requests now.
     *
     * @throws ConflictError if this or a later request of the instance was answered, if @p request names an unknown instance,
     *         or if it is incomplete and this leader doesn't know the reply that it is based on; the state is unchanged then
     */
    wire::SharesReplyT allocate(Timestamp now, const wire::SharesRequestT &request, const std::vector<ServingWorker> &workers);

private:
    /** Entry instance and incarnation of its process; a restarted process doesn't know which requests the earlier one sent. */
    using HolderKey = std::pair<std::string, std::uint64_t>;

    struct Holder {
        std::uint64_t sequence = 0;
        std::uint32_t demand = 0;
        /** When every request under the newest lease must have ended. */
        Timestamp heldUntil;
        /** Upper bound of the slots in use, by worker. */
        absl::flat_hash_map<std::string, std::uint32_t> held;
        /** Slots in the newest reply, by worker. */
        absl::flat_hash_map<std::string, std::uint32_t> granted;
    };

    Duration holdTime() const;
    void removeUnresponsive(Timestamp now);
    bool mayRedistribute(Timestamp now, const std::string &partner) const;
    std::uint32_t heldByOthers(const std::string &partner, const std::string &worker, const HolderKey &self) const;
    std::uint32_t target(const std::string &partner, const std::string &instance, const ServingWorker &worker, std::size_t position) const;
    void recordHeld(const wire::SharesRequestT &request, bool isBaseKnown, Holder &holder) const;
    std::uint32_t demandOf(const std::string &partner, const std::string &instance) const;

    const std::map<std::string, std::vector<std::string>> entries;
    const ShareTiming timing;
    const Timestamp leaderSince;
    const ShareGuards guards;
    // Invariant: for each worker the sum of `held` over all holders of a partner is at most the worker's slots.
    std::map<std::string, std::map<HolderKey, Holder>> holders;
    /** By partner, the instances that reported to this leader and have run for at least holdTime(). */
    std::map<std::string, absl::flat_hash_set<std::string>> reportedEntries;
};

} // namespace paddlepier::routing

#endif
