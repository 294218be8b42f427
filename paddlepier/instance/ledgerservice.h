// The leader's work on one ledger: calls, leases, placement and shares.
//
// Each LedgerNode has one LedgerService, which is active while the node leads. Its state outside the ledger is volatile and
// is rebuilt in each term. A mutating call is answered once its command has been applied; a read is answered from the
// leader's state while the leader holds its lease.
//
// Thread safety: none; owned by the control thread.

#ifndef PADDLEPIER_INSTANCE_LEDGERSERVICE_H
#define PADDLEPIER_INSTANCE_LEDGERSERVICE_H

#include "paddlepier/instance/actor.h"
#include "paddlepier/instance/ledgernode.h"
#include "paddlepier/ledger/leasetable.h"
#include "paddlepier/routing/shareallocator.h"
#include "paddlepier/rpc/callcatalog.h"
#include "paddlepier/scheduling/scheduler.h"
#include "paddlepier/settings/configuration.h"

#include <memory>
#include <optional>
#include <string>

namespace paddlepier::instance
{

class LedgerService
{
public:
    LedgerService(const Settings &instanceSettings, LedgerNode &ledgerNode, Counters &counters);

    /**
     * Executes a call received by this replica; fails with `NotLeader` on a follower. @p done is called exactly once, possibly
     * before this returns.
     */
    void execute(Timestamp now, rpc::Method method, const Actor &actor, const std::string &body, const CallCallback &done);

    /** Applies the partners' quotas of @p deployment to placement. */
    void setConfiguration(const DeploymentConfiguration &deployment);

    /** The leader's instance as known to this replica; empty if no leader is known. */
    std::string leaderInstance() const;

    /** Expires leases and places tasks; does nothing unless the node leads. */
    void tick(Timestamp now);

private:
    /** A long-polling announcement: its reply is delayed until the worker has to act, at most until expiresAt. */
    struct HeldAnnouncement {
        wire::AnnounceRequestT request;
        CallCallback done;
        Timestamp expiresAt;
    };

    /** Volatile state of the leader in one term. */
    struct Term {
        Term(const Settings &settings, LedgerNode &node, std::map<std::string, std::vector<std::string>> entries);

        std::uint64_t number;
        ledger::LeaseTable leases;
        routing::ShareAllocator allocator;
        scheduling::Scheduler scheduler;
        /** A placement command has been proposed and not yet applied; prevents placing the same tasks twice. */
        bool isPlacementInFlight = false;
        /** Workers whose shares an earlier leader may have allocated. */
        absl::flat_hash_set<std::string> inheritedWorkers;
        Timestamp nextExpiry = absl::InfinitePast();
        std::map<std::string, HeldAnnouncement> heldAnnouncements;
        /** Configuration version in force at each instance, and when the instance last reported it. */
        std::map<std::string, std::pair<std::uint64_t, Timestamp>> instanceVersions;
    };

    /** The state of the current term; created on its first use in the term. */
    Term &ensureTerm();
    CallResult notLeader() const;
    void dispatch(Timestamp now, rpc::Method method, const Actor &actor, const std::string &body, const CallCallback &done);

    void submit(const Actor &actor, const wire::SubmitRequestT &request, const CallCallback &done);
    void checkSpec(const wire::JobSpecT &spec) const;
    void list(const Actor &actor, const CallCallback &done) const;
    void explain(const Actor &actor, const wire::ExplainRequestT &request, const CallCallback &done);
    void cancel(const Actor &actor, const wire::CancelRequestT &request, const CallCallback &done);
    void status(Timestamp now, const CallCallback &done);
    void drain(const Actor &actor, const wire::DrainRequestT &request, const CallCallback &done);
    void announce(Timestamp now, const Actor &actor, const wire::AnnounceRequestT &request, const CallCallback &done);
    void allocateShares(Timestamp now, const wire::SharesRequestT &request, const CallCallback &done);
    void begin(const wire::BeginRequestT &request, const CallCallback &done);
    void finish(const wire::FinishRequestT &request, const CallCallback &done);
    void changeConfiguration(const wire::ChangeRequestT &request, const CallCallback &done);
    void fetchConfiguration(Timestamp now, const wire::FetchRequestT &request, const CallCallback &done);
    void showConfiguration(Timestamp now, const CallCallback &done);

    /** @throws UnknownJobError if there is no such job or it belongs to another partner */
    const ledger::Job &visibleJob(const Actor &actor, const std::string &name) const;
    wire::JobSummaryT summarize(const ledger::Job &job) const;
    std::string jobName(std::uint64_t id) const;
    void place(Timestamp now);
    /** Answers the held announcements of changed workers that have to act, and those that have expired. */
    void answerHeld(Timestamp now, const std::vector<std::string> &changedWorkers);
    void answerHeldIfActionable(const std::string &worker);
    /** Proposes the command of a call. Calls @p succeeded with the result once applied, or @p done with the failure. */
    void proposeAndReply(wire::CommandUnion command, const CallCallback &done, std::function<void(const ledger::Applied &)> succeeded);
    void proposeAll(std::vector<wire::CommandUnion> commands);

    const Settings &settings;
    LedgerNode &node;
    Counter &placements;
    Histogram &placementDecision;
    std::map<std::string, double> quotas;
    std::unique_ptr<Term> term;
};

/** A job's external name, `data-centre.number`. */
std::string formatJobName(const std::string &dataCentre, std::uint64_t id);

struct JobName {
    std::string dataCentre;
    std::uint64_t id = 0;
};

/** @throws InvalidArgumentError if @p name doesn't have the form of formatJobName() */
JobName parseJobName(const std::string &name);

} // namespace paddlepier::instance

#endif
