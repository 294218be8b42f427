// Records of requests that must not be repeated.
//
// A key is opened once. Only the attempt that opened it may send the request to a backend server. A later request with
// the same key gets the recorded answer, or learns that the first one is in progress or that its outcome is unknown. Only
// the answer `NotRun` frees the key, because nothing was sent then.
//
// Retention: a record is retained for requestRetentionMicros after its deadline. At most maxRequests records are
// retained; a full table rejects new keys instead of evicting old ones.
//
// Thread safety: none; owned by the ledger. open() and close() are O(1), removeExpired() is O(log n) per removed record.

#ifndef PADDLEPIER_LEDGER_REQUESTTABLE_H
#define PADDLEPIER_LEDGER_REQUESTTABLE_H

#include "paddlepier/wire/ledger_generated.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace paddlepier::ledger
{

constexpr std::int64_t requestRetentionMicros = 24LL * 3600 * 1'000'000;
constexpr std::size_t maxRequests = 200'000;

enum class OpenOutcome { Accepted, Known, KeyReused, TableFull };

class RequestTable
{
public:
    OpenOutcome open(const wire::OpenRequestT &request);

    /** Records the answer of the attempt `requestId`. @return false if that attempt doesn't hold the key */
    bool close(const wire::CloseRequestT &request);

    /** Removes the records whose retention has ended at @p atMicros. */
    void removeExpired(std::int64_t atMicros);

    const wire::RequestRecordT *find(std::string_view partner, std::string_view key) const;
    std::size_t size() const;

    std::vector<std::unique_ptr<wire::RequestRecordT>> pack() const;
    void restore(const std::vector<std::unique_ptr<wire::RequestRecordT>> &records);

private:
    absl::flat_hash_map<std::string, wire::RequestRecordT> records;
    // Invariant: holds exactly one element for each record, ordered by deadline.
    std::set<std::pair<std::int64_t, std::string>> byDeadline;
};

} // namespace paddlepier::ledger

#endif
