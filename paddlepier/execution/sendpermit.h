// Conditions under which an order may still be sent: the permission of a leader, or of an instance that relays for it, which is limited in time; for a
// start that it is still wanted; for one that relies on a recent answer of the worker, that it isn't late.
//
// An order may wait for a thread, for a connection or for a paused process before it is sent. By then another leader may have been elected, which
// counts on orders of earlier leaders being old: a worker that restarted meanwhile under its id doesn't know the newer fencing token and would
// execute the order. The thread that sends an order therefore checks the permit last.
//
// Example:
//     const auto permit = std::make_shared<SendPermit>();
//     permit->extendTo(replica.leaderLeaseEnd());                   // control thread, while the lease is renewed
//     if (permit->isValid(controlNow())) { /* write the request */ }   // sending thread
//
// Thread safety: all methods from any thread.

#ifndef PADDLEPIER_EXECUTION_SENDPERMIT_H
#define PADDLEPIER_EXECUTION_SENDPERMIT_H

#include "paddlepier/base/clock.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace paddlepier::execution
{

class SendPermit
{
public:
    /** Makes the permit valid until @p end, if it hasn't been revoked. */
    void extendTo(Timestamp end)
    {
        this->endMicros = absl::ToUnixMicros(end);
    }

    /** Ends the permit for good: its term is over. */
    void revoke()
    {
        this->isRevoked = true;
    }

    bool isValid(Timestamp now) const
    {
        return !this->isRevoked && absl::ToUnixMicros(now) < this->endMicros;
    }

private:
    std::atomic<std::int64_t> endMicros{0};
    std::atomic<bool> isRevoked{false};
};

/** Held with the state of a run while its start is wanted: until it has started, is stopped or has ended. */
struct StartToken {
};

struct SendConditions {
    /** Null: at any time. */
    std::shared_ptr<const SendPermit> permit;
    /** Expires when a start isn't wanted any more. Its run may have ended by then, and its worker may have restarted under its id. Empty for other orders. */
    std::optional<std::weak_ptr<const StartToken>> start;
    /** Latest time to send the order, whose sender relies on what it knows of the worker now. An order may wait long for a connection. */
    Timestamp sendBy = absl::InfiniteFuture();

    bool hold(Timestamp now) const
    {
        return now <= this->sendBy && (!this->permit || this->permit->isValid(now)) && (!this->start || !this->start->expired());
    }
};

} // namespace paddlepier::execution

#endif
