// Routes calls to the leader of a data centre's ledger.
//
// A call is executed locally if this instance leads the ledger, and otherwise sent to the presumed leader. A replica that
// answers `NotLeader` may name the current leader, which is tried next; if a replica doesn't answer in time, the call goes
// to the next one. Every call completes by its deadline: with `DataCentreUnreachable` if no leader has answered, in which
// case it may still take effect. Calls are idempotent (by sequence, submission id or request id), so retries are safe.
//
// Thread safety: none; owned by the control thread.

#ifndef PADDLEPIER_INSTANCE_CALLROUTER_H
#define PADDLEPIER_INSTANCE_CALLROUTER_H

#include "paddlepier/base/counters.h"
#include "paddlepier/instance/actor.h"
#include "paddlepier/instance/ledgerservice.h"
#include "paddlepier/rpc/callcatalog.h"
#include "paddlepier/settings/settings.h"
#include "paddlepier/wire/peer_generated.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace paddlepier::instance
{

class CallRouter
{
public:
    using Send = std::function<void(const std::string &instance, wire::PeerFrameT frame)>;

    CallRouter(const Settings &instanceSettings, Send frameSender, Counters &counters, std::uint64_t firstCallId);

    /** Registers the service of a ledger of which this instance hosts a replica. */
    void addLocal(const std::string &dataCentre, LedgerService &service);

    /** Starts a call that expires after @p timeout. @p done is called exactly once, possibly before this returns. */
    void call(Timestamp now, const std::string &dataCentre, rpc::Method method, const Actor &actor, std::string body, Duration timeout, CallCallback done);

    void receiveRequest(Timestamp now, const std::string &fromInstance, const std::string &group, const wire::CallRequestT &request);
    void receiveReply(Timestamp now, const std::string &fromInstance, const wire::CallReplyT &reply);

    /** Retries calls whose current target hasn't answered in time, and fails those past their deadline. */
    void tick(Timestamp now);

    std::size_t pendingCalls() const;

private:
    struct PendingCall {
        std::string dataCentre;
        rpc::Method method;
        Actor actor;
        std::string body;
        CallCallback done;
        Timestamp deadline;
        Timestamp nextAttemptAt;
        std::string target;
        /** Position in the replica list that is tried next while no leader is known. */
        std::size_t replicaIndex = 0;
    };

    /** Sends the call to the presumed leader, or executes it here. */
    void attempt(Timestamp now, std::uint64_t id);
    void handleResult(Timestamp now, std::uint64_t id, const std::string &fromInstance, const CallResult &result);
    void complete(std::uint64_t id, const CallResult &result);
    std::string chooseTarget(PendingCall &pending);
    /** True if the local replica knows a leader other than the call's current target. */
    bool hasNewLeader(const PendingCall &pending) const;

    const Settings &settings;
    const Send send;
    Counter &sentCalls;
    absl::flat_hash_map<std::string, LedgerService *> localServices;
    /** Last reported leader of each ledger; may be outdated. */
    absl::flat_hash_map<std::string, std::string> reportedLeaders;
    std::map<std::uint64_t, PendingCall> pending;
    std::uint64_t nextId;
};

} // namespace paddlepier::instance

#endif
