// Helpers shared by the two source files of LedgerService: building commands and replies.
//
// Thread safety: free functions without state.

#ifndef PADDLEPIER_INSTANCE_LEDGERREPLIES_H
#define PADDLEPIER_INSTANCE_LEDGERREPLIES_H

#include "paddlepier/instance/actor.h"
#include "paddlepier/wire/codec.h"
#include "paddlepier/wire/ledger_generated.h"

#include <utility>

namespace paddlepier::instance
{

template<typename Command>
wire::CommandUnion toCommand(Command command)
{
    wire::CommandUnion result;
    result.Set(std::move(command));
    return result;
}

template<typename Reply>
void succeed(const CallCallback &done, const Reply &reply)
{
    done(CallResult::success(wire::pack(reply)));
}

/** True if the worker has to act on this reply; otherwise the reply may be delayed. */
inline bool requiresAction(const wire::AnnounceRequestT &request, const wire::AnnounceReplyT &reply)
{
    return !reply.started.empty() || !reply.recorded.empty() || reply.renewed.size() != request.running.size() || !request.finished.empty();
}

} // namespace paddlepier::instance

#endif
