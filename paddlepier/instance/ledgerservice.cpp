// The leader's work on one ledger.

#include "paddlepier/instance/ledgerservice.h"

#include "paddlepier/base/log.h"
#include "paddlepier/instance/ledgerreplies.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace paddlepier::instance
{

namespace
{

using rpc::Method;

constexpr Duration leaseExpiryInterval = absl::Milliseconds(100);

} // namespace

std::string formatJobName(const std::string &dataCentre, std::uint64_t id)
{
    return absl::StrCat(dataCentre, ".", id);
}

JobName parseJobName(const std::string &name)
{
    const std::size_t dot = name.rfind('.');
    JobName parsed;
    if (dot == std::string::npos || dot == 0 || !absl::SimpleAtoi(name.substr(dot + 1), &parsed.id)) {
        throw InvalidArgumentError(absl::StrCat("\"", name, "\" is not a job name; expected DATA-CENTRE.NUMBER, such as atlanta-1.17"));
    }
    parsed.dataCentre = name.substr(0, dot);
    return parsed;
}

LedgerService::Term::Term(const Settings &settings, LedgerNode &node, std::map<std::string, std::vector<std::string>> entries)
    : number(node.replica().currentTerm())
    , leases(settings.timing, node.replica().currentTerm(), node.state().upcomingEpoch(), node.replica().leaderSince())
    , allocator(std::move(entries), {settings.timing.shareLease, settings.limits.requestDeadline, settings.timing.driftPerMille}, node.replica().leaderSince())
{
    this->scheduler.rebuild(node.state());
    for (const auto &[name, worker] : node.state().workers()) {
        this->inheritedWorkers.insert(name);
    }
}

LedgerService::LedgerService(const Settings &instanceSettings, LedgerNode &ledgerNode, Counters &counters)
    : settings(instanceSettings)
    , node(ledgerNode)
    , placements(counters.counter(absl::StrCat("ledger_placed_tasks_total{ledger=\"", ledgerNode.dataCentre(), "\"}")))
    , placementDecision(counters.histogram(absl::StrCat("ledger_placement_decision{ledger=\"", ledgerNode.dataCentre(), "\"}")))
{
}

LedgerService::Term &LedgerService::ensureTerm()
{
    if (this->term == nullptr || this->term->number != this->node.replica().currentTerm()) {
        std::map<std::string, std::vector<std::string>> entries;
        const auto add = [&entries](const std::string &partner, const std::string &id) { entries[partner].push_back(id); };
        if (this->settings.dataCentre == this->node.dataCentre()) {
            add(this->settings.partner, this->settings.id);
        }
        for (const PeerSettings &peer : this->settings.peers) {
            if (peer.dataCentre == this->node.dataCentre()) {
                add(peer.partner, peer.id);
            }
        }
        this->term = std::make_unique<Term>(this->settings, this->node, std::move(entries));
        this->term->scheduler.setQuotas(this->quotas);
    }
    return *this->term;
}

std::string LedgerService::leaderInstance() const
{
    return this->node.leaderInstance();
}

CallResult LedgerService::notLeader() const
{
    CallResult result = CallResult::failure(ErrorCode::NotLeader, absl::StrCat("this instance is not the leader of the ledger of ", this->node.dataCentre()));
    result.leader = this->node.leaderInstance() == this->settings.id ? "" : this->node.leaderInstance();
    return result;
}

void LedgerService::execute(Timestamp now, Method method, const Actor &actor, const std::string &body, const CallCallback &done)
{
    if (!this->node.isServing(now)) {
        done(this->notLeader());
        return;
    }
    try {
        this->dispatch(now, method, actor, body, done);
    } catch (const Error &error) {
        done(CallResult::failure(error.code(), error.what()));
    }
}

void LedgerService::dispatch(Timestamp now, Method method, const Actor &actor, const std::string &body, const CallCallback &done)
{
    switch (method) {
    case Method::Submit:
        this->submit(actor, wire::unpack<wire::SubmitRequestT>(body), done);
        return;
    case Method::List:
        this->list(actor, done);
        return;
    case Method::Explain:
        this->explain(actor, wire::unpack<wire::ExplainRequestT>(body), done);
        return;
    case Method::Cancel:
        this->cancel(actor, wire::unpack<wire::CancelRequestT>(body), done);
        return;
    case Method::Status:
        this->status(now, done);
        return;
    case Method::Drain:
        this->drain(actor, wire::unpack<wire::DrainRequestT>(body), done);
        return;
    case Method::Announce:
        this->announce(now, actor, wire::unpack<wire::AnnounceRequestT>(body), done);
        return;
    case Method::DealShares:
        this->allocateShares(now, wire::unpack<wire::SharesRequestT>(body), done);
        return;
    case Method::Begin:
        this->begin(wire::unpack<wire::BeginRequestT>(body), done);
        return;
    case Method::Finish:
        this->finish(wire::unpack<wire::FinishRequestT>(body), done);
        return;
    case Method::Change:
        this->changeConfiguration(wire::unpack<wire::ChangeRequestT>(body), done);
        return;
    case Method::Fetch:
        this->fetchConfiguration(now, wire::unpack<wire::FetchRequestT>(body), done);
        return;
    case Method::ShowStatus:
        this->showConfiguration(now, done);
        return;
    }
}

void LedgerService::answerHeldIfActionable(const std::string &worker)
{
    Term &current = *this->term;
    const auto found = current.heldAnnouncements.find(worker);
    if (found == current.heldAnnouncements.end()) {
        return;
    }
    const std::optional<wire::AnnounceReplyT> reply = current.leases.currentReply(found->second.request, this->node.state());
    if (reply && requiresAction(found->second.request, *reply)) {
        succeed(found->second.done, *reply);
        current.heldAnnouncements.erase(found);
    }
}

void LedgerService::answerHeld(Timestamp now, const std::vector<std::string> &changedWorkers)
{
    for (const std::string &worker : changedWorkers) {
        this->answerHeldIfActionable(worker);
    }
    std::map<std::string, HeldAnnouncement> &held = this->term->heldAnnouncements;
    for (auto entry = held.begin(); entry != held.end();) {
        if (now < entry->second.expiresAt) {
            ++entry;
            continue;
        }
        const std::optional<wire::AnnounceReplyT> reply = this->term->leases.currentReply(entry->second.request, this->node.state());
        if (reply) {
            succeed(entry->second.done, *reply);
        } else {
            entry->second.done(CallResult::failure(ErrorCode::StaleAnnouncement, "superseded by a later announcement of the same worker"));
        }
        entry = held.erase(entry);
    }
}

void LedgerService::proposeAndReply(wire::CommandUnion command, const CallCallback &done, std::function<void(const ledger::Applied &)> succeeded)
{
    this->node.propose(std::move(command), [done, succeeded = std::move(succeeded)](const ledger::Applied &applied) {
        if (applied.error != ErrorCode::None) {
            done(CallResult::failure(applied.error, applied.message));
            return;
        }
        succeeded(applied);
    });
}

void LedgerService::proposeAll(std::vector<wire::CommandUnion> commands)
{
    for (wire::CommandUnion &command : commands) {
        this->node.propose(std::move(command), [](const ledger::Applied &applied) {
            if (applied.error != ErrorCode::None) {
                log::debug("ledger", "command.refused", {{"error", paddlepier::nameOf(applied.error)}, {"message", applied.message}});
            }
        });
    }
}

void LedgerService::tick(Timestamp now)
{
    if (!this->node.isServing(now)) {
        return;
    }
    Term &current = this->ensureTerm();
    if (now >= current.nextExpiry) {
        current.nextExpiry = now + leaseExpiryInterval;
        this->proposeAll(current.leases.expire(now, this->node.state()));
        current.scheduler.setReachable(this->node.state(), [&current, now](const std::string &worker) { return current.leases.isReachable(now, worker); });
    }
    this->place(now);
}

void LedgerService::place(Timestamp now)
{
    Term &current = *this->term;
    this->answerHeld(now, current.scheduler.refresh(this->node.state()));
    if (current.isPlacementInFlight) {
        return;
    }
    const Timestamp start = controlNow();
    std::optional<wire::PlaceTasksT> command = current.scheduler.decide(this->node.state(), wallMicros());
    if (!command) {
        return;
    }
    this->placementDecision.record(controlNow() - start);
    current.isPlacementInFlight = true;
    const std::uint64_t number = current.number;
    this->node.propose(toCommand(std::move(*command)), [this, number](const ledger::Applied &applied) {
        this->placements.add(applied.placed);
        if (this->term != nullptr && this->term->number == number) {
            this->term->isPlacementInFlight = false;
        }
    });
}

} // namespace paddlepier::instance
