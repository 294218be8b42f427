// Serves the quick requests of an entry instance.

#include "paddlepier/instance/quickservice.h"

#include "paddlepier/base/log.h"
#include "paddlepier/instance/quickheaders.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace paddlepier::instance
{

namespace
{

using routing::AttemptEnd;
using wire::RequestOutcome;

constexpr Duration busyPollTime = absl::Milliseconds(20);
constexpr Duration idlePollTime = absl::Milliseconds(100);
constexpr Duration busySharesInterval = absl::Milliseconds(200);
constexpr Duration failedSharesBackoff = absl::Milliseconds(100);
constexpr Duration idleSharesInterval = absl::Milliseconds(500);
/** A request for shares that isn't answered within this time is abandoned; a later answer to it is ignored. */
constexpr Duration sharesTimeout = absl::Milliseconds(900);
/** Time limit for recording an answer, which may exceed the caller's deadline. */
constexpr Duration closeKeyTimeout = absl::Seconds(2);
/** After this time the instance reports ready without shares: while its ledger has no leader, it can still serve by hops. */
constexpr Duration maxStartupTime = absl::Seconds(5);
constexpr std::size_t mailboxLimit = 100'000;
constexpr std::size_t maxKeyBytes = 200;
constexpr int minFailureStatus = 500;

Counter &outcomeCounter(Counters &counters, RequestOutcome outcome)
{
    return counters.counter(absl::StrCat("quick_answers_total{outcome=\"", outcomeName(outcome), "\"}"));
}

http::Response errorResponse(int status, ErrorCode code, const std::string &message)
{
    return {status, {{"Content-Type", "application/json"}}, rpc::errorJson(code, message)};
}

http::Response notRunResponse(const std::string &reason, Duration retryAfter)
{
    http::Response answer = errorResponse(503, ErrorCode::Overloaded, absl::StrCat("not run: ", reason));
    const double seconds = absl::ToDoubleSeconds(retryAfter);
    answer.headers.emplace_back("Retry-After", absl::StrCat(static_cast<std::int64_t>(std::ceil(seconds))));
    answer.headers.emplace_back(retryAfterMillisHeader, absl::StrCat(absl::ToInt64Milliseconds(retryAfter)));
    return answer;
}

routing::RouterLimits routerLimits(const Settings &settings)
{
    routing::RouterLimits limits;
    limits.queuedRequests = settings.limits.queuedRequests;
    limits.maxRequestTime = settings.limits.requestDeadline;
    limits.shareLease = settings.timing.shareLease;
    limits.driftPerMille = settings.timing.driftPerMille;
    return limits;
}

std::uint64_t digestOf(const http::Request &request)
{
    const std::uint64_t target = XXH3_64bits(request.target.data(), request.target.size());
    return XXH3_64bits_withSeed(request.body.data(), request.body.size(), target);
}

/** Classifies an attempt by the worker's response, or by the lack of one. */
AttemptEnd classifyWorkerResult(const http::TransferResult &result)
{
    if (!result.isComplete) {
        return result.nothingSent ? AttemptEnd::NotSent : AttemptEnd::Broken;
    }
    if (!result.response.header(refusedHeader).empty()) {
        return AttemptEnd::Refused;
    }
    return result.response.status >= minFailureStatus ? AttemptEnd::Failed : AttemptEnd::Answered;
}

/** Classifies an attempt sent to another data centre's entry instance, which states the outcome in a header. */
AttemptEnd classifyHopResult(const http::TransferResult &result)
{
    if (!result.isComplete) {
        return result.nothingSent ? AttemptEnd::NotSent : AttemptEnd::Broken;
    }
    const std::string_view outcome = result.response.header(outcomeHeader);
    if (outcome == outcomeName(RequestOutcome::Completed)) {
        return AttemptEnd::Answered;
    }
    if (outcome == outcomeName(RequestOutcome::Failed)) {
        return AttemptEnd::Failed;
    }
    return outcome == outcomeName(RequestOutcome::NotRun) ? AttemptEnd::Refused : AttemptEnd::Broken;
}

} // namespace

QuickService::QuickService(const Settings &instanceSettings, Counters &processCounters, LedgerCall ledgerCall, std::uint64_t seed)
    : settings(instanceSettings)
    , callLedger(std::move(ledgerCall))
    , counters(processCounters)
    , requestTime(processCounters.histogram("quick_request"))
    , mailbox(mailboxLimit)
    , router(routerLimits(instanceSettings), seed)
    , incarnation(seed)
{
    std::vector<std::pair<std::string, std::string>> hops;
    this->keyDataCentres.push_back(instanceSettings.dataCentre);
    for (const PeerSettings &peer : instanceSettings.peers) {
        if (peer.partner != instanceSettings.partner) {
            continue;
        }
        if (peer.dataCentre != instanceSettings.dataCentre) {
            hops.emplace_back(peer.id, peer.http.text());
        }
        if (std::find(this->keyDataCentres.begin(), this->keyDataCentres.end(), peer.dataCentre) == this->keyDataCentres.end()) {
            this->keyDataCentres.push_back(peer.dataCentre);
        }
    }
    // Every entry instance of the partner must map a key to the same data centre, so the order must be the same.
    std::sort(this->keyDataCentres.begin(), this->keyDataCentres.end());
    this->router.setHopTargets(hops);
    this->thread = std::thread([this] { this->run(); });
}

QuickService::~QuickService()
{
    this->stop();
}

bool QuickService::isReady() const
{
    return this->hasRequestedShares || controlNow() - this->startedAt > maxStartupTime;
}

void QuickService::post(Mailbox::Work work)
{
    this->mailbox.postUnbounded(std::move(work));
    this->pool.wake();
}

void QuickService::submit(const std::shared_ptr<http::Exchange> &exchange)
{
    const bool isAccepted = this->mailbox.post([this, exchange] { this->accept(exchange); });
    if (!isAccepted) {
        http::Response answer = notRunResponse("too many requests are queued", absl::Seconds(1));
        answer.headers.emplace_back(outcomeHeader, outcomeName(RequestOutcome::NotRun));
        exchange->respond(std::move(answer));
        return;
    }
    this->pool.wake();
}

void QuickService::setConfiguration(const DeploymentConfiguration &deployment)
{
    this->post([this, deployment] {
        const std::uint32_t queued = deployment.queuedRequests == 0 ? this->settings.limits.queuedRequests : deployment.queuedRequests;
        this->router.setLimits(queued, deployment.retryBudgetPercent / 100.0);
    });
}

void QuickService::stop()
{
    if (this->isStopping.exchange(true)) {
        return;
    }
    this->pool.wake();
    this->thread.join();
}

void QuickService::run()
{
    while (!this->isStopping) {
        for (const Mailbox::Work &work : this->mailbox.drain(absl::ZeroDuration())) {
            work();
        }
        const Timestamp now = controlNow();
        this->router.tick(now);
        this->renewShares(now);
        this->pump();
        this->pool.run(this->router.demand() > 0 ? busyPollTime : idlePollTime);
        this->pump();
    }
    this->mailbox.close();
}

bool QuickService::readHeaders(const http::Request &request, Caller &caller, http::Response &refusal) const
{
    caller.isHop = !request.header(hopHeader).empty();
    if (caller.isHop && request.header(cellKeyHeader) != this->settings.cellKey) {
        refusal = errorResponse(403, ErrorCode::Forbidden, absl::StrCat(hopHeader, " is reserved for entry instances, which send the cell key"));
        return false;
    }
    std::int64_t millis = absl::ToInt64Milliseconds(this->settings.limits.requestDeadline);
    const std::string deadline(request.header(deadlineHeader));
    std::int64_t requestedMillis = 0;
    if (!deadline.empty() && (!absl::SimpleAtoi(deadline, &requestedMillis) || requestedMillis <= 0)) {
        refusal = errorResponse(400, ErrorCode::InvalidArgument, absl::StrCat(deadlineHeader, " must be a positive number of milliseconds"));
        return false;
    }
    millis = requestedMillis > 0 ? std::min(requestedMillis, millis) : millis;
    caller.deadline = caller.received + absl::Milliseconds(millis);
    caller.key = std::string(request.header(keyHeader));
    if (caller.key.size() > maxKeyBytes) {
        refusal = errorResponse(400, ErrorCode::InvalidArgument, absl::StrCat(keyHeader, " is longer than ", maxKeyBytes, " bytes"));
        return false;
    }
    const std::string_view idempotentValue = request.header(idempotentHeader);
    if (!idempotentValue.empty() && idempotentValue != "true" && idempotentValue != "false") {
        refusal = errorResponse(400, ErrorCode::InvalidArgument, absl::StrCat(idempotentHeader, " must be true or false"));
        return false;
    }
    caller.isIdempotent = caller.key.empty() && (idempotentValue == "true" || (idempotentValue.empty() && request.method == "GET"));
    return true;
}

void QuickService::accept(const std::shared_ptr<http::Exchange> &exchange)
{
    Caller caller;
    caller.exchange = exchange;
    caller.received = controlNow();
    const std::uint64_t id = this->nextRequest++;
    caller.requestId = absl::StrCat(absl::Hex(this->incarnation, absl::kZeroPad16), "-", id);
    http::Response refusal;
    if (!this->readHeaders(exchange->request(), caller, refusal)) {
        refusal.headers.emplace_back(outcomeHeader, outcomeName(RequestOutcome::NotRun));
        exchange->respond(std::move(refusal));
        return;
    }
    const bool needsKey = !caller.key.empty() && !caller.isHop;
    this->callers.emplace(id, std::move(caller));
    if (needsKey) {
        this->openKey(id);
    } else {
        this->route(id);
    }
}

std::string QuickService::dataCentreOfKey(const std::string &key) const
{
    return this->keyDataCentres[XXH3_64bits(key.data(), key.size()) % this->keyDataCentres.size()];
}

void QuickService::openKey(std::uint64_t id)
{
    Caller &caller = this->callers.at(id);
    caller.digest = digestOf(caller.exchange->request());
    const Duration remaining = caller.deadline - controlNow();
    wire::BeginRequestT request;
    request.partner = this->settings.partner;
    request.key = caller.key;
    request.digest = caller.digest;
    request.requestId = caller.requestId;
    request.deadlineMillis = static_cast<std::uint64_t>(std::max<std::int64_t>(absl::ToInt64Milliseconds(remaining), 1));
    this->callLedger(this->dataCentreOfKey(caller.key), rpc::Method::Begin, wire::pack(request), remaining, [this, id](const CallResult &result) {
        this->post([this, id, result] { this->handleKeyOpened(id, result); });
    });
}

void QuickService::handleKeyOpened(std::uint64_t id, const CallResult &result)
{
    Caller &caller = this->callers.at(id);
    if (result.error != ErrorCode::None) {
        // Nothing was sent, so the outcome is "not run". The key may have been opened nevertheless: release it for a retry.
        this->closeKey(caller, RequestOutcome::NotRun, nullptr, [] {});
        this->answerCaller(
            id, RequestOutcome::NotRun, notRunResponse(absl::StrCat("recording the idempotency key failed: ", result.message), absl::Seconds(1)));
        return;
    }
    const auto reply = wire::unpack<wire::BeginReplyT>(result.body);
    switch (reply.result) {
    case wire::BeginResult::Accepted:
        this->route(id);
        return;
    case wire::BeginResult::InProgress:
        this->answerCaller(id, RequestOutcome::InProgress, errorResponse(409, ErrorCode::Conflict, "a request with this idempotency key is in progress"));
        return;
    case wire::BeginResult::KeyReused:
        this->answerCaller(id, RequestOutcome::NotRun, errorResponse(409, ErrorCode::KeyReused, "the idempotency key was used for a different request"));
        return;
    case wire::BeginResult::Recorded:
        break;
    }
    if (reply.answer->outcome == RequestOutcome::Unknown) {
        this->answerCaller(
            id, RequestOutcome::Unknown, errorResponse(502, ErrorCode::Timeout, "the outcome of the request with this idempotency key is unknown"));
        return;
    }
    http::Response recorded{reply.answer->status, {{"Content-Type", reply.answer->contentType}}, wire::toString(reply.answer->body)};
    this->answerCaller(id, reply.answer->outcome, std::move(recorded));
}

void QuickService::route(std::uint64_t id)
{
    const Caller &caller = this->callers.at(id);
    this->router.submit(controlNow(), {id, caller.deadline, caller.isIdempotent, !caller.isHop});
}

void QuickService::pump()
{
    for (bool busy = true; busy;) {
        const std::vector<routing::Attempt> attempts = this->router.drainAttempts();
        const std::vector<routing::Finished> finished = this->router.drainFinished();
        busy = !attempts.empty() || !finished.empty();
        for (const routing::Attempt &attempt : attempts) {
            this->send(attempt);
        }
        for (const routing::Finished &result : finished) {
            this->finish(result);
        }
    }
}

void QuickService::send(const routing::Attempt &attempt)
{
    const Caller &caller = this->callers.at(attempt.request);
    const http::Request &original = caller.exchange->request();
    http::OutgoingRequest request;
    request.method = original.method;
    request.body = original.body;
    request.timeout = attempt.timeout;
    request.mayReuseConnection = caller.isIdempotent;
    const std::string_view contentType = original.header("Content-Type");
    if (!contentType.empty()) {
        request.headers.emplace_back("Content-Type", contentType);
    }
    request.headers.emplace_back(deadlineHeader, absl::StrCat(absl::ToInt64Milliseconds(attempt.deadline)));
    if (attempt.isHop) {
        request.url = absl::StrCat("http://", attempt.address, original.target);
        request.headers.emplace_back(hopHeader, this->settings.id);
        request.headers.emplace_back(cellKeyHeader, this->settings.cellKey);
        request.headers.emplace_back(idempotentHeader, caller.isIdempotent ? "true" : "false");
    } else {
        request.url = absl::StrCat("http://", attempt.address, original.target.substr(quickPrefix.size() - 1));
        request.headers.emplace_back(requestIdHeader, absl::StrCat(caller.requestId, ".", attempt.id));
        request.headers.emplace_back(validUntilHeader, absl::StrCat(attempt.validUntilWorkerMicros));
    }
    this->pool.start(std::move(request), [this, attempt](http::TransferResult result) { this->handleAttemptEnd(attempt, std::move(result)); });
}

void QuickService::handleAttemptEnd(const routing::Attempt &attempt, http::TransferResult result)
{
    const auto found = this->callers.find(attempt.request);
    if (found == this->callers.end()) {
        return;
    }
    Caller &caller = found->second;
    AttemptEnd end = attempt.isHop ? classifyHopResult(result) : classifyWorkerResult(result);
    // A late response to an earlier request on the same connection must not be accepted for this request.
    const std::string expected = absl::StrCat(caller.requestId, ".", attempt.id);
    if (!attempt.isHop && result.isComplete && result.response.header(requestIdHeader) != expected) {
        this->counters.counter("quick_foreign_answers_total").add();
        log::warning("quick", "answer.foreign", {{"worker", attempt.target}, {"expected", expected}});
        end = AttemptEnd::Broken;
    }
    if (end == AttemptEnd::Answered || end == AttemptEnd::Failed) {
        caller.responses[attempt.id] = std::move(result.response);
    }
    this->router.recordAttemptEnd(controlNow(), attempt.id, end);
}

void QuickService::finish(const routing::Finished &finished)
{
    Caller &caller = this->callers.at(finished.request);
    http::Response answer;
    if (finished.attempt != 0) {
        const http::Response &received = caller.responses.at(finished.attempt);
        answer = {received.status, {{"Content-Type", std::string(received.header("Content-Type"))}}, received.body};
    } else if (finished.outcome == RequestOutcome::NotRun) {
        answer = notRunResponse(nameOf(finished.reason), finished.retryAfter);
    } else {
        answer = errorResponse(502, ErrorCode::Timeout, "the request was sent, but no complete answer was received");
    }
    const std::uint64_t id = finished.request;
    const RequestOutcome outcome = finished.outcome;
    if (caller.key.empty() || caller.isHop) {
        this->answerCaller(id, outcome, std::move(answer));
        return;
    }
    // The answer is recorded before the caller receives it, so that a duplicate request gets the same answer.
    this->closeKey(caller, outcome, &answer, [this, id, outcome, answer] { this->answerCaller(id, outcome, answer); });
}

void QuickService::closeKey(const Caller &caller, RequestOutcome outcome, const http::Response *answer, const std::function<void()> &closed)
{
    wire::FinishRequestT request;
    request.partner = this->settings.partner;
    request.key = caller.key;
    request.requestId = caller.requestId;
    request.answer = std::make_unique<wire::RecordedAnswerT>();
    request.answer->outcome = outcome;
    if (answer != nullptr) {
        request.answer->status = static_cast<std::uint16_t>(answer->status);
        request.answer->contentType = std::string(answer->header("Content-Type"));
        request.answer->body = wire::toBytes(answer->body);
    }
    this->callLedger(this->dataCentreOfKey(caller.key), rpc::Method::Finish, wire::pack(request), closeKeyTimeout, [this, closed](const CallResult &) {
        this->post(closed);
    });
}

void QuickService::answerCaller(std::uint64_t id, RequestOutcome outcome, http::Response answer)
{
    const auto found = this->callers.find(id);
    if (found == this->callers.end()) {
        return;
    }
    answer.headers.emplace_back(outcomeHeader, outcomeName(outcome));
    answer.headers.emplace_back(requestIdHeader, found->second.requestId);
    outcomeCounter(this->counters, outcome).add();
    this->requestTime.record(controlNow() - found->second.received);
    found->second.exchange->respond(std::move(answer));
    this->callers.erase(found);
}

void QuickService::limitConnections(const wire::SharesReplyT &reply)
{
    // The HTTP library has one limit for all hosts, so the smallest share of connections applies to each.
    std::uint32_t connections = 0;
    for (const auto &share : reply.shares) {
        connections = connections == 0 ? share->connections : std::min(connections, share->connections);
    }
    if (connections > 0) {
        this->pool.setMaxConnectionsPerHost(connections);
    }
}

void QuickService::renewShares(Timestamp now)
{
    if (now < this->nextSharesRequestAt) {
        return;
    }
    this->nextSharesRequestAt = now + sharesTimeout;
    wire::SharesRequestT request;
    request.instance = this->settings.id;
    request.partner = this->settings.partner;
    request.incarnation = this->incarnation;
    request.ageMillis = static_cast<std::uint64_t>(absl::ToInt64Milliseconds(now - this->startedAt));
    request.sequence = ++this->shareSequence;
    request.demand = this->router.demand();
    request.baseSequence = this->answeredShareSequence;
    request.isComplete = this->answeredShareSequence == 0 || this->answeredShareSequence + 1 != request.sequence;
    for (wire::ShareUseT &use : this->router.uses(!request.isComplete)) {
        request.uses.push_back(std::make_unique<wire::ShareUseT>(std::move(use)));
    }
    const std::uint64_t sequence = request.sequence;
    this->callLedger(this->settings.dataCentre, rpc::Method::DealShares, wire::pack(request), sharesTimeout, [this, sequence, now](const CallResult &result) {
        this->post([this, sequence, now, result] {
            // Only the answer to the latest request may be accepted: the leader relies on this.
            if (sequence != this->shareSequence) {
                return;
            }
            if (result.error != ErrorCode::None) {
                // Conflict: a new leader doesn't have the base, so send a complete request at once; the current shares expire soon.
                this->answeredShareSequence = result.error == ErrorCode::Conflict ? 0 : this->answeredShareSequence;
                this->nextSharesRequestAt = controlNow() + (result.error == ErrorCode::Conflict ? absl::ZeroDuration() : failedSharesBackoff);
                return;
            }
            this->hasRequestedShares = true;
            const auto reply = wire::unpack<wire::SharesReplyT>(result.body);
            this->answeredShareSequence = sequence;
            this->limitConnections(reply);
            this->router.setShares(controlNow(), now, reply);
            this->nextSharesRequestAt = now + (this->router.demand() > 0 ? busySharesInterval : idleSharesInterval);
        });
    });
}

} // namespace paddlepier::instance
