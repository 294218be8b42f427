// Small helpers of LedgerService's two source files: commands, replies and what is news to a worker.
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
    wire::CommandUnion united;
    united.Set(std::move(command));
    return united;
}

template<typename Reply>
void succeed(const CallDone &done, const Reply &reply)
{
    done(CallResult::success(wire::pack(reply)));
}

/** True if a worker has something to do on this reply. */
inline bool hasNews(const wire::AnnounceRequestT &request, const wire::AnnounceReplyT &reply)
{
    return !reply.started.empty() || !reply.recorded.empty() || reply.renewed.size() != request.running.size() || !request.finished.empty();
}

} // namespace paddlepier::instance

#endif
