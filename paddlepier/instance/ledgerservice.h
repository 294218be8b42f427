// The leader's work on one ledger: calls, leases, placement, shares.
//
// Exists beside every LedgerNode; what it keeps besides the ledger is volatile and begins anew with each term in which
// its node leads. A call that changes something is answered when the change is applied; a call that reads is answered
// from the leader's state while it holds the leader's lease.
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

    /** Makes a call that came to this replica; @p done is called exactly once, perhaps before this returns. */
    void execute(Timestamp now, rpc::Method method, const Actor &actor, const std::string &body, const CallDone &done);

    /** Puts the configuration in force at this instance into force for placement. */
    void setConfiguration(const DeploymentConfiguration &deployment);

    /** Instance that leads the ledger, as far as this replica knows; empty while there is none. */
    std::string leaderInstance() const;

    /** Places tasks, expires leases; does nothing unless the node leads. */
    void tick(Timestamp now);

private:
    /** An announcement whose reply waits for something to tell. */
    struct HeldAnnouncement {
        wire::AnnounceRequestT request;
        CallDone done;
        Timestamp until;
    };

    /** What a leader keeps besides the ledger. */
    struct Term {
        Term(const Settings &settings, LedgerNode &node, std::map<std::string, std::vector<std::string>> entries);

        std::uint64_t number;
        ledger::LeaseTable leases;
        routing::ShareDealer dealer;
        scheduling::Scheduler scheduler;
        bool placementUnderWay = false;
        /** Workers that an earlier leader may have dealt shares of. */
        absl::flat_hash_set<std::string> inherited;
        Timestamp nextExpiry = absl::InfinitePast();
        std::map<std::string, HeldAnnouncement> held;
        /** Versions in force by instance, as last heard. */
        std::map<std::string, std::pair<std::uint64_t, Timestamp>> versions;
    };

    Term &ensureTerm();
    CallResult notLeader() const;
    void run(Timestamp now, rpc::Method method, const Actor &actor, const std::string &body, const CallDone &done);

    void submit(const Actor &actor, const wire::SubmitRequestT &request, const CallDone &done);
    void checkSpec(const wire::JobSpecT &spec) const;
    void list(const Actor &actor, const CallDone &done) const;
    void explain(const Actor &actor, const wire::ExplainRequestT &request, const CallDone &done);
    void cancel(const Actor &actor, const wire::CancelRequestT &request, const CallDone &done);
    void status(Timestamp now, const CallDone &done);
    void drain(const Actor &actor, const wire::DrainRequestT &request, const CallDone &done);
    void announce(Timestamp now, const Actor &actor, const wire::AnnounceRequestT &request, const CallDone &done);
    void dealShares(Timestamp now, const wire::SharesRequestT &request, const CallDone &done);
    void begin(const wire::BeginRequestT &request, const CallDone &done);
    void finish(const wire::FinishRequestT &request, const CallDone &done);
    void changeConfiguration(const wire::ChangeRequestT &request, const CallDone &done);
    void fetchConfiguration(Timestamp now, const wire::FetchRequestT &request, const CallDone &done);
    void showConfiguration(Timestamp now, const CallDone &done);

    const ledger::Job &visibleJob(const Actor &actor, const std::string &name) const;
    wire::JobSummaryT summarize(const ledger::Job &job) const;
    std::string jobName(std::uint64_t id) const;
    void place(Timestamp now);
    void answerHeld(Timestamp now, const std::vector<std::string> &changedWorkers);
    void answerHeldOf(const std::string &worker);
    /** Proposes the command of a call; @p done gets its failure, @p succeeded everything else. */
    void proposeFor(wire::CommandUnion command, const CallDone &done, std::function<void(const ledger::Applied &)> succeeded);
    void proposeAll(std::vector<wire::CommandUnion> commands);

    const Settings &settings;
    LedgerNode &node;
    Counter &placements;
    Histogram &placementDecision;
    std::map<std::string, double> quotas;
    std::unique_ptr<Term> term;
};

/** `data-centre.number`. */
std::string formatJobName(const std::string &dataCentre, std::uint64_t id);

struct JobName {
    std::string dataCentre;
    std::uint64_t id = 0;
};

/** @throws InvalidArgumentError if @p name is not a job's name */
JobName parseJobName(const std::string &name);

} // namespace paddlepier::instance

#endif
