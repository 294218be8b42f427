// Dealing of workers' slots to the entry instances of a data centre.
//
// The leader of the ledger deals every worker's slots in shares. An entry may use no more than its share, and only until
// the share's lease ends, so that all entries together never exceed a worker's slots.
//
// The dealer counts for each entry and worker the most that the entry may have in use: the greatest of what it said it
// holds, what it has in use, and what it was given since. An entry that falls silent keeps what it held until its lease
// and the longest request that it may have sent are over. A new leader deals nothing beyond what the entries say they
// hold until each entry has spoken or must have lost its share; the word of an entry that was restarted lately doesn't
// count, since it knows nothing of what its earlier run sent. Workers that no earlier leader knew are dealt at once.
//
// A reply holds only what changed since the one that the entry took last, so that renewing many shares costs little.
//
// Example:
//     wire::SharesReplyT reply = dealer.deal(now, request, workers);
//
// Thread safety: none; owned by the control thread. deal() is O(workers * entries of the partner).

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
    /** Lower bound of the worker's own clock now. */
    std::int64_t clockMicros = 0;
    /** First known under this leader: no earlier leader can have dealt its slots. */
    bool isFresh = false;
};

/** Safety checks that only a test switches off, to show that it notices. */
struct ShareGuards {
    /** Keep counting what an entry held until it has confirmed less or can't use it any more. */
    bool countHeld = true;
    /** A new leader waits for every entry's word. */
    bool waitForEntries = true;
};

struct ShareTiming {
    Duration lease;
    Duration longestRequest;
    std::uint32_t driftPerMille = 10;
};

class ShareDealer
{
public:
    /**
     * @param entriesByPartner every entry instance of this data centre
     * @param since when this leader was elected
     */
    ShareDealer(std::map<std::string, std::vector<std::string>> entriesByPartner, ShareTiming shareTiming, Timestamp since, ShareGuards shareGuards = {});

    /**
     * Answers one entry. @p workers are those of its partner that may get requests now.
     *
     * @throws ConflictError if a later request of this entry was answered, if @p request names no known entry, or if it is
     *         not complete and this leader doesn't know its base; nothing has changed then
     */
    wire::SharesReplyT deal(Timestamp now, const wire::SharesRequestT &request, const std::vector<ServingWorker> &workers);

private:
    /** One run of an entry process; a restarted entry knows nothing of what its earlier run sent. */
    using HolderKey = std::pair<std::string, std::uint64_t>;

    struct Holder {
        std::uint64_t sequence = 0;
        std::uint32_t demand = 0;
        Timestamp heldUntil;
        absl::flat_hash_map<std::string, std::uint32_t> held;
        /** Slots by worker in the newest reply. */
        absl::flat_hash_map<std::string, std::uint32_t> granted;
    };

    Duration holdTime() const;
    void dropSilent(Timestamp now);
    bool maySpread(Timestamp now, const std::string &partner) const;
    std::uint32_t heldByOthers(const std::string &partner, const std::string &worker, const HolderKey &self) const;
    std::uint32_t target(const std::string &partner, const std::string &instance, const ServingWorker &worker, std::size_t position) const;
    void noteHeld(const wire::SharesRequestT &request, bool isBaseKnown, Holder &holder) const;
    std::uint32_t demandOf(const std::string &partner, const std::string &instance) const;

    const std::map<std::string, std::vector<std::string>> entries;
    const ShareTiming timing;
    const Timestamp leaderSince;
    const ShareGuards guards;
    // Invariant: for each worker the sum of `held` over all holders of a partner is at most the worker's slots.
    std::map<std::string, std::map<HolderKey, Holder>> holders;
    std::map<std::string, absl::flat_hash_set<std::string>> heard;
};

} // namespace paddlepier::routing

#endif
