// Brings a call to the leader of the ledger that it belongs to.
//
// A call is made here if this instance leads that ledger, and otherwise sent to the instance that is thought to lead;
// one that answers `NotLeader` may name a better one. A call that gets no answer goes to the next replica. Every call
// ends by its deadline, with `DataCentreUnreachable` if no leader has answered; it may then still take effect. All calls are idempotent, by a sequence, a
// submission id or a request id, so that sending one again changes nothing.
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

    /** Names the service of a ledger that this instance has a replica of. */
    void addLocal(const std::string &dataCentre, LedgerService &service);

    /** Starts a call; @p done is called exactly once. */
    void call(Timestamp now, const std::string &dataCentre, rpc::Method method, const Actor &actor, std::string body, Duration patience, CallDone done);

    void receiveRequest(Timestamp now, const std::string &fromInstance, const std::string &group, const wire::CallRequestT &request);
    void receiveReply(Timestamp now, const std::string &fromInstance, const wire::CallReplyT &reply);

    /** Sends calls again whose answer is late, and ends those past their deadline. */
    void tick(Timestamp now);

    std::size_t pendingCalls() const;

private:
    struct PendingCall {
        std::string dataCentre;
        rpc::Method method;
        Actor actor;
        std::string body;
        CallDone done;
        Timestamp deadline;
        Timestamp nextAttemptAt;
        std::string target;
        std::size_t replicaIndex = 0;
    };

    void attempt(Timestamp now, std::uint64_t id);
    void handleResult(Timestamp now, std::uint64_t id, const std::string &fromInstance, const CallResult &result);
    void complete(std::uint64_t id, const CallResult &result);
    std::string chooseTarget(PendingCall &pending);
    /** The own replica has learned of another leader than the one that was asked. */
    bool hasNewLeader(const PendingCall &pending) const;

    const Settings &settings;
    const Send send;
    Counter &sentCalls;
    absl::flat_hash_map<std::string, LedgerService *> locals;
    absl::flat_hash_map<std::string, std::string> leaders;
    std::map<std::uint64_t, PendingCall> pending;
    std::uint64_t nextId;
};

} // namespace paddlepier::instance

#endif
