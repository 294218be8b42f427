// An entry instance.

#include "paddlepier/instance/instance.h"

#include "paddlepier/base/log.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <random>

namespace paddlepier::instance
{

namespace
{

constexpr std::size_t mailboxLimit = 100'000;
constexpr Duration tickInterval = absl::Milliseconds(50);
constexpr Duration fetchInterval = absl::Milliseconds(500);
constexpr Duration fetchTimeout = absl::Milliseconds(1500);
constexpr Duration callTimeout = absl::Seconds(4);
/** Time for the balancer to see the failing health check before connections are refused. */
constexpr Duration balancerNoticeTime = absl::Milliseconds(300);
constexpr Duration stopMargin = absl::Seconds(2);

constexpr const char *jsonType = "application/json";
constexpr const char *binaryType = "application/x-flatbuffers";

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

void answerError(http::Exchange &exchange, ErrorCode code, const std::string &message)
{
    exchange.respond({httpStatus(code), {{"Content-Type", jsonType}}, rpc::errorJson(code, message)});
}

bool wantsBinary(const http::Request &request)
{
    return request.header("Content-Type") == binaryType;
}

template<typename Request>
std::string dataCentreOf(const std::string &body)
{
    return wire::unpack<Request>(body).dataCentre;
}

} // namespace

Instance::Instance(Settings instanceSettings)
    : settings(std::move(instanceSettings))
    , mailbox(mailboxLimit)
    , suspension(this->counters)
{
    const std::uint64_t seed = randomSeed();
    const auto sendFrame = [this](const std::string &instance, wire::PeerFrameT frame) { this->sendFrame(instance, std::move(frame)); };
    this->disk = std::make_unique<replication::DiskWriter>(this->mailbox, this->counters);
    this->calls = std::make_unique<CallRouter>(this->settings, sendFrame, this->counters, seed);
    this->openLedgers(seed);
    this->transport = std::make_unique<peer::Transport>(this->settings, this->counters, [this](wire::PeerFrameT frame) {
        auto shared = std::make_shared<wire::PeerFrameT>(std::move(frame));
        this->mailbox.post([this, shared] { this->receive(std::move(*shared)); });
    });
    const auto callLedger = [this](const std::string &dataCentre, rpc::Method method, std::string body, Duration timeout, const CallCallback &done) {
        // A full mailbox is reported like a ledger that can't be reached in time: by a failed call.
        const bool isAccepted = this->mailbox.post([this, dataCentre, method, body = std::move(body), timeout, done] {
            this->calls->call(controlNow(), dataCentre, method, {this->settings.partner, wire::Role::Administrator}, body, timeout, done);
        });
        if (!isAccepted) {
            done(CallResult::failure(ErrorCode::Overloaded, "too many calls are queued"));
        }
    };
    this->quick = std::make_unique<QuickService>(this->settings, this->counters, callLedger, seed);
    this->configuration = std::make_unique<ConfigurationStore>(this->settings.dataFolder,
                                                               [this](const DeploymentConfiguration &deployment) { this->applyConfiguration(deployment); });
    this->server = std::make_unique<http::HttpServer>(
        this->settings.http, this->settings.limits, [this](const std::shared_ptr<http::Exchange> &exchange) { this->handle(exchange); });
    log::info("instance", "started", {{"instance", this->settings.id}, {"http", this->settings.http.text()}, {"peer", this->settings.peer.text()}});
}

Instance::~Instance() = default;

void Instance::sendFrame(const std::string &instance, wire::PeerFrameT frame)
{
    frame.fromInstance = this->settings.id;
    this->transport->send(instance, frame);
}

void Instance::openLedgers(std::uint64_t seed)
{
    const Timestamp now = controlNow();
    const auto sendFrame = [this](const std::string &instance, wire::PeerFrameT frame) { this->sendFrame(instance, std::move(frame)); };
    for (const LedgerSettings &group : this->settings.ledgers) {
        if (std::find(group.replicas.begin(), group.replicas.end(), this->settings.id) == group.replicas.end()) {
            continue;
        }
        HostedLedger &added = this->hosted[group.dataCentre];
        added.node = std::make_unique<LedgerNode>(this->settings, group, *this->disk, sendFrame, this->counters, now, seed + this->hosted.size());
        added.service = std::make_unique<LedgerService>(this->settings, *added.node, this->counters);
        this->calls->addLocal(group.dataCentre, *added.service);
    }
}

void Instance::requestStop()
{
    this->stopRequested = true;
}

void Instance::run()
{
    while (!this->stopRequested) {
        this->step(tickInterval);
    }
    this->stopGracefully();
}

void Instance::step(Duration maxWait)
{
    for (const Mailbox::Work &work : this->mailbox.drain(maxWait)) {
        work();
    }
    this->suspension.check();
    const Timestamp now = controlNow();
    if (now >= this->nextTick) {
        this->nextTick = now + tickInterval;
        this->tickAll(now);
    }
    for (auto &[dataCentre, entry] : this->hosted) {
        entry.service->tick(now);
        entry.node->flush(now);
    }
}

void Instance::tickAll(Timestamp now)
{
    for (auto &[dataCentre, entry] : this->hosted) {
        entry.node->tick(now);
    }
    this->calls->tick(now);
    if (now >= this->nextFetch && this->settings.findLedger(deploymentLedger) != nullptr) {
        this->nextFetch = now + fetchInterval;
        this->fetchConfiguration(now);
        this->gossipConfiguration();
    }
    this->counters.counter("calls_pending").set(static_cast<std::int64_t>(this->calls->pendingCalls()));
}

void Instance::stopGracefully()
{
    log::info("instance", "stopping", {{"instance", this->settings.id}});
    this->isLeaving = true;
    const Timestamp noticeEnd = controlNow() + balancerNoticeTime;
    while (controlNow() < noticeEnd) {
        this->step(tickInterval);
    }
    for (auto &[dataCentre, entry] : this->hosted) {
        entry.node->transferLeadership(controlNow());
    }
    // The server waits on a separate thread for its exchanges to complete, while this thread continues to serve them.
    std::atomic<bool> closed{false};
    std::thread closing([this, &closed] {
        this->server->stop(this->settings.limits.requestDeadline + stopMargin);
        closed = true;
    });
    while (!closed) {
        this->step(tickInterval);
    }
    closing.join();
    this->quick->stop();
    this->step(absl::ZeroDuration());
    this->transport->stop();
    this->disk->stop();
    this->mailbox.close();
    log::info("instance", "stopped", {{"instance", this->settings.id}});
}

void Instance::receive(wire::PeerFrameT frame)
{
    const Timestamp now = controlNow();
    if (const auto *request = frame.body.AsCallRequest()) {
        this->calls->receiveRequest(now, frame.fromInstance, frame.group, *request);
        return;
    }
    if (const auto *reply = frame.body.AsCallReply()) {
        this->calls->receiveReply(now, frame.fromInstance, *reply);
        return;
    }
    if (const auto *offer = frame.body.AsConfigurationOffer()) {
        this->receiveOffer(frame.fromInstance, *offer);
        return;
    }
    const auto found = this->hosted.find(frame.group);
    if (found == this->hosted.end()) {
        return;
    }
    try {
        found->second.node->receive(now, std::move(frame));
    } catch (const Error &error) {
        log::warning("peer", "frame.malformed", {{"from", frame.fromInstance}, {"error", paddlepier::nameOf(error.code())}, {"message", error.what()}});
    }
}

void Instance::applyConfiguration(const DeploymentConfiguration &deployment)
{
    this->counters.counter("configuration_changes_total").add();
    this->quick->setConfiguration(deployment);
    for (auto &[dataCentre, entry] : this->hosted) {
        entry.service->setConfiguration(deployment);
    }
}

void Instance::fetchConfiguration(Timestamp now)
{
    wire::FetchRequestT request;
    request.instance = this->settings.id;
    request.knownVersion = this->configuration->current().version;
    const Actor self{this->settings.partner, wire::Role::Administrator};
    this->calls->call(now, std::string(deploymentLedger), rpc::Method::Fetch, self, wire::pack(request), fetchTimeout, [this](const CallResult &result) {
        if (result.error != ErrorCode::None) {
            return;
        }
        const auto reply = wire::unpack<wire::FetchReplyT>(result.body);
        if (reply.configuration && this->configuration->offer(*reply.configuration)) {
            this->nextFetch = absl::InfinitePast(); // Report the new version to the ledger immediately.
        }
    });
}

void Instance::gossipConfiguration()
{
    if (!this->settings.peers.empty() && this->configuration->current().version > 0) {
        this->offerConfiguration(this->settings.peers[this->nextGossipPeer++ % this->settings.peers.size()].id, false);
    }
}

void Instance::offerConfiguration(const std::string &instance, bool withText)
{
    const wire::ConfigurationT &current = this->configuration->current();
    wire::ConfigurationOfferT offer;
    offer.version = current.version;
    offer.revision = withText ? current.revision : "";
    offer.text = withText ? current.text : "";
    wire::PeerFrameT frame;
    frame.body.Set(std::move(offer));
    this->sendFrame(instance, std::move(frame));
}

void Instance::receiveOffer(const std::string &fromInstance, const wire::ConfigurationOfferT &offer)
{
    const std::uint64_t own = this->configuration->current().version;
    if (offer.version < own) {
        this->offerConfiguration(fromInstance, true);
    } else if (offer.version > own && offer.revision.empty() && offer.text.empty()) {
        // Announcing the older version makes the peer reply with the text of its newer one.
        this->offerConfiguration(fromInstance, false);
    } else if (offer.version > own) {
        wire::ConfigurationT received;
        received.version = offer.version;
        received.revision = offer.revision;
        received.text = offer.text;
        this->configuration->offer(received);
    }
}

std::optional<Actor> Instance::authenticate(const http::Request &request) const
{
    const std::string_view header = request.header("Authorization");
    constexpr std::string_view scheme = "Bearer ";
    if (header.substr(0, scheme.size()) != scheme) {
        return std::nullopt;
    }
    const std::string_view token = header.substr(scheme.size());
    std::optional<Actor> actor;
    for (const TokenSettings &known : this->settings.tokens) {
        if (known.token == token) {
            actor = Actor{known.partner, known.role};
        }
    }
    return actor;
}

void Instance::handle(const std::shared_ptr<http::Exchange> &exchange)
{
    const http::Request &request = exchange->request();
    if (absl::StartsWith(request.path, absl::string_view(quickPrefix.data(), quickPrefix.size()))) {
        this->quick->submit(exchange);
        return;
    }
    if (request.path == "/healthz") {
        const char *state = this->isLeaving ? "leaving\n" : this->quick->isReady() ? "ok\n" : "starting\n";
        const bool isHealthy = !this->isLeaving && this->quick->isReady();
        exchange->respond({isHealthy ? 200 : 503, {{"Content-Type", "text/plain"}}, state});
        return;
    }
    if (request.path == "/metrics") {
        exchange->respond({200, {{"Content-Type", "text/plain"}}, this->counters.text()});
        return;
    }
    const rpc::CallInfo *call = rpc::CallCatalog::instance().findRoute(request.path);
    if (call == nullptr) {
        answerError(*exchange, ErrorCode::UnknownRoute, absl::StrCat("unknown route ", request.path));
    } else if (request.method != "POST") {
        answerError(*exchange, ErrorCode::MethodNotAllowed, "calls require the method POST");
    } else {
        this->handleCall(exchange, *call);
    }
}

std::string Instance::targetDataCentre(rpc::Method method, const std::string &body) const
{
    std::string requested;
    switch (method) {
    case rpc::Method::Submit:
        requested = dataCentreOf<wire::SubmitRequestT>(body);
        break;
    case rpc::Method::List:
        requested = dataCentreOf<wire::ListRequestT>(body);
        break;
    case rpc::Method::Status:
        requested = dataCentreOf<wire::StatusRequestT>(body);
        break;
    case rpc::Method::Drain:
        requested = dataCentreOf<wire::DrainRequestT>(body);
        break;
    case rpc::Method::Explain:
        requested = parseJobName(wire::unpack<wire::ExplainRequestT>(body).job).dataCentre;
        break;
    case rpc::Method::Cancel:
        requested = parseJobName(wire::unpack<wire::CancelRequestT>(body).job).dataCentre;
        break;
    case rpc::Method::Change:
    case rpc::Method::ShowStatus:
    case rpc::Method::Fetch:
        requested = std::string(deploymentLedger);
        break;
    case rpc::Method::Announce:
    case rpc::Method::DealShares:
    case rpc::Method::Begin:
    case rpc::Method::Finish:
        break;
    }
    return requested.empty() ? this->settings.dataCentre : requested;
}

void Instance::handleCall(const std::shared_ptr<http::Exchange> &exchange, const rpc::CallInfo &call)
{
    const http::Request &request = exchange->request();
    const std::optional<Actor> actor = this->authenticate(request);
    if (!actor) {
        answerError(*exchange, ErrorCode::Unauthenticated, "missing or unknown token; expected the header Authorization: Bearer TOKEN");
        return;
    }
    if (!permits(actor->role, call.role)) {
        answerError(*exchange, ErrorCode::Forbidden, absl::StrCat(call.name, " is not permitted for the role ", wire::EnumNameRole(actor->role)));
        return;
    }
    try {
        const bool isBinary = wantsBinary(request);
        const std::string body = isBinary ? request.body : rpc::CallCatalog::instance().requestFromJson(call, request.body);
        const std::string dataCentre = this->targetDataCentre(call.method, body);
        const auto answer = [exchange, &call, isBinary](const CallResult &result) {
            if (result.error != ErrorCode::None) {
                answerError(*exchange, result.error, result.message);
                return;
            }
            const std::string reply = isBinary ? result.body : rpc::CallCatalog::instance().replyToJson(call, result.body);
            exchange->respond({200, {{"Content-Type", isBinary ? binaryType : jsonType}}, reply});
        };
        const bool isAccepted = this->mailbox.post(
            [this, dataCentre, &call, actor, body, answer] { this->calls->call(controlNow(), dataCentre, call.method, *actor, body, callTimeout, answer); });
        if (!isAccepted) {
            answerError(*exchange, ErrorCode::Overloaded, "too many calls are queued");
        }
    } catch (const Error &error) {
        answerError(*exchange, error.code(), error.what());
    }
}

} // namespace paddlepier::instance
