// Routing of quick requests.

#include "paddlepier/routing/quickrouter.h"

#include <absl/algorithm/container.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace paddlepier::routing
{

namespace
{

using wire::RequestOutcome;

/** Added to the longest request time before the slot of an unresponsive worker is reused, for network delay and timer granularity. */
constexpr Duration stopMargin = absl::Milliseconds(100);
constexpr Duration minEjection = absl::Seconds(1);
constexpr std::uint32_t maxEjectionExponent = 5;
constexpr Duration hopAvoidance = absl::Milliseconds(200);
constexpr Duration minRetryAfter = absl::Milliseconds(100);
constexpr double maxRetryTokens = 10;
constexpr double serviceTimeSmoothing = 0.05;

} // namespace

const char *nameOf(GiveUpReason reason)
{
    static constexpr std::array<const char *, 6> names{"none", "no-share", "queue-full", "deadline-too-short", "deadline-passed", "worker-failed"};
    return names[static_cast<std::size_t>(reason)];
}

QuickRouter::QuickRouter(RouterLimits routerLimits, std::uint64_t seed, RouterGuards routerGuards)
    : limits(routerLimits)
    , guards(routerGuards)
    , random(seed)
{
}

void QuickRouter::submit(Timestamp now, const QuickRequest &request)
{
    this->retryTokens = std::min(this->retryTokens + this->limits.retryBudget, maxRetryTokens);
    PendingRequest &pending = this->pendingRequests[request.id];
    pending.request = request;
    this->dispatch(now, request.id);
}

void QuickRouter::dispatch(Timestamp now, std::uint64_t id)
{
    PendingRequest &pending = this->pendingRequests.at(id);
    if (now >= pending.request.deadline) {
        this->giveUp(now, id, GiveUpReason::DeadlinePassed);
        return;
    }
    // Queued requests with an earlier deadline go first.
    const bool mayStart = this->queue.empty() || this->queue.begin()->first >= pending.request.deadline;
    if (mayStart && this->sendToWorker(now, pending)) {
        return;
    }
    if (this->sendHop(now, pending)) {
        return;
    }
    this->enqueueOrGiveUp(now, pending);
}

void QuickRouter::enqueueOrGiveUp(Timestamp now, PendingRequest &pending)
{
    const std::uint64_t id = pending.request.id;
    const bool hasShare = absl::c_any_of(this->backends, [now](const auto &entry) { return entry.second.cap > 0 && now < entry.second.leaseEnd; });
    if (!hasShare) {
        this->giveUp(now, id, GiveUpReason::NoShare);
    } else if (this->queue.size() >= this->limits.queuedRequests) {
        this->giveUp(now, id, GiveUpReason::QueueFull);
    } else if (now + this->expectedWait(now) >= pending.request.deadline) {
        this->giveUp(now, id, GiveUpReason::DeadlineTooShort);
    } else {
        this->queue.emplace(pending.request.deadline, id);
    }
}

bool QuickRouter::hasFreeSlot(Timestamp now, const Backend &backend) const
{
    if (!this->guards.respectShare) {
        return true;
    }
    return backend.inUse < backend.cap && now < backend.leaseEnd;
}

std::size_t QuickRouter::ejectedCount(Timestamp now) const
{
    return static_cast<std::size_t>(absl::c_count_if(this->backends, [now](const auto &entry) { return now < entry.second.ejectedUntil; }));
}

std::string QuickRouter::chooseBackend(Timestamp now, const std::string &avoid)
{
    const auto isUsable = [&](const std::string &name) {
        const Backend &backend = this->backends.at(name);
        return name != avoid && this->hasFreeSlot(now, backend) && now >= backend.ejectedUntil;
    };
    if (this->names.empty()) {
        return "";
    }
    std::uniform_int_distribution<std::size_t> anyIndex(0, this->names.size() - 1);
    const std::string &first = this->names[anyIndex(this->random)];
    const std::string &second = this->names[anyIndex(this->random)];
    if (isUsable(first) && isUsable(second)) {
        const auto load = [this](const std::string &name) {
            const Backend &backend = this->backends.at(name);
            return static_cast<double>(backend.inUse) / backend.cap;
        };
        return load(first) <= load(second) ? first : second;
    }
    if (isUsable(first)) {
        return first;
    }
    if (isUsable(second)) {
        return second;
    }
    const std::size_t start = anyIndex(this->random);
    for (std::size_t step = 0; step < this->names.size(); ++step) {
        const std::string &name = this->names[(start + step) % this->names.size()];
        if (isUsable(name)) {
            return name;
        }
    }
    // Without any other usable worker, the request goes to the one that failed it before, even if that one is ejected.
    for (const std::string &name : this->names) {
        if (this->hasFreeSlot(now, this->backends.at(name)) && name == avoid) {
            return name;
        }
    }
    return "";
}

bool QuickRouter::sendToWorker(Timestamp now, PendingRequest &pending)
{
    const std::string name = this->chooseBackend(now, pending.lastTarget);
    if (name.empty()) {
        return false;
    }
    Backend &backend = this->backends.at(name);
    ++backend.inUse;
    Attempt attempt;
    attempt.target = name;
    attempt.address = backend.address;
    // Renewals since the grant have extended the lease; even a slow worker clock has advanced by at least this amount.
    const Duration leaseExtension = (backend.leaseEnd - backend.grantedAt - this->limits.shareLease) * (1.0 - 2.0 * this->limits.driftPerMille / 1000.0);
    attempt.validUntilWorkerMicros = backend.validUntilWorkerMicros + absl::ToInt64Microseconds(leaseExtension);
    attempt.connections = backend.connections;
    this->send(now, pending, std::move(attempt));
    return true;
}

bool QuickRouter::sendHop(Timestamp now, PendingRequest &pending)
{
    if (!pending.request.mayHop || pending.hasHopped || this->hopTargets.empty() || this->hopsInFlight >= this->limits.hopsInFlight) {
        return false;
    }
    std::uniform_int_distribution<std::size_t> anyIndex(0, this->hopTargets.size() - 1);
    const std::size_t start = anyIndex(this->random);
    for (std::size_t step = 0; step < this->hopTargets.size(); ++step) {
        const HopTarget &target = this->hopTargets[(start + step) % this->hopTargets.size()];
        if (now < target.avoidUntil) {
            continue;
        }
        pending.hasHopped = true;
        ++this->hopsInFlight;
        Attempt attempt;
        attempt.target = target.name;
        attempt.address = target.address;
        attempt.isHop = true;
        this->send(now, pending, std::move(attempt));
        return true;
    }
    return false;
}

void QuickRouter::send(Timestamp now, PendingRequest &pending, Attempt attempt)
{
    ++pending.attempts;
    pending.lastTarget = attempt.target;
    attempt.id = this->nextAttempt++;
    attempt.request = pending.request.id;
    const Duration remaining = pending.request.deadline - now;
    // If the first attempt hangs, half of the time remains for a second attempt of an idempotent request.
    const bool reservesRetryTime = pending.request.isIdempotent && pending.attempts == 1 && !attempt.isHop;
    attempt.deadline = reservesRetryTime ? remaining / 2 : remaining;
    attempt.timeout = attempt.isHop ? attempt.deadline : this->limits.maxRequestTime;
    InFlightAttempt flight;
    flight.request = pending.request.id;
    flight.target = attempt.target;
    flight.isHop = attempt.isHop;
    flight.started = now;
    flight.deadline = now + attempt.deadline;
    this->inFlightAttempts.emplace(attempt.id, std::move(flight));
    this->attempts.push_back(std::move(attempt));
}

void QuickRouter::recordAttemptEnd(Timestamp now, std::uint64_t attempt, AttemptEnd end)
{
    const auto found = this->inFlightAttempts.find(attempt);
    if (found == this->inFlightAttempts.end()) {
        return;
    }
    const InFlightAttempt flight = std::move(found->second);
    this->inFlightAttempts.erase(found);
    this->releaseSlot(now, flight, end);
    if (!flight.isAbandoned && (end == AttemptEnd::Answered || end == AttemptEnd::Failed)) {
        this->finish(flight.request, end == AttemptEnd::Answered ? RequestOutcome::Completed : RequestOutcome::Failed, attempt, GiveUpReason::None);
    } else if (!flight.isAbandoned) {
        this->retryOrGiveUp(now, flight.request, end);
    }
    this->dispatchQueue(now);
}

void QuickRouter::retryOrGiveUp(Timestamp now, std::uint64_t request, AttemptEnd end)
{
    PendingRequest &pending = this->pendingRequests.at(request);
    pending.mayHaveRun = pending.mayHaveRun || end == AttemptEnd::Broken;
    if (this->mayRetry(pending, end, now)) {
        this->dispatch(now, request);
    } else {
        this->giveUp(now, request, GiveUpReason::WorkerFailed);
    }
}

void QuickRouter::abandonExpired(Timestamp now)
{
    std::vector<std::uint64_t> expired;
    for (auto &[id, flight] : this->inFlightAttempts) {
        if (!flight.isAbandoned && now >= flight.deadline) {
            flight.isAbandoned = true;
            expired.push_back(flight.request);
        }
    }
    for (const std::uint64_t request : expired) {
        this->retryOrGiveUp(now, request, AttemptEnd::Broken);
    }
}

void QuickRouter::releaseSlot(Timestamp now, const InFlightAttempt &flight, AttemptEnd end)
{
    if (flight.isHop) {
        --this->hopsInFlight;
        if (end == AttemptEnd::NotSent || end == AttemptEnd::Refused) {
            const auto target = absl::c_find_if(this->hopTargets, [&flight](const HopTarget &hop) { return hop.name == flight.target; });
            if (target != this->hopTargets.end()) {
                target->avoidUntil = now + hopAvoidance;
            }
        }
        return;
    }
    const auto found = this->backends.find(flight.target);
    if (found == this->backends.end()) {
        return;
    }
    if (end == AttemptEnd::Broken && this->guards.holdSlotOfBrokenAttempt) {
        this->heldSlots.emplace(flight.started + this->limits.maxRequestTime + stopMargin, this->nextAttempt++, flight.target);
    } else {
        --found->second.inUse;
    }
    if (end == AttemptEnd::Answered || end == AttemptEnd::Failed) {
        this->meanServiceSeconds += serviceTimeSmoothing * (absl::ToDoubleSeconds(now - flight.started) - this->meanServiceSeconds);
    }
    this->recordResult(now, found->second, end);
}

void QuickRouter::recordResult(Timestamp now, Backend &backend, AttemptEnd end)
{
    if (end == AttemptEnd::Answered) {
        backend.failures = 0;
        return;
    }
    if (end == AttemptEnd::Refused) {
        return;
    }
    ++backend.failures;
    // Rounded up, so that even a small data centre can eject more than one worker. One worker always remains.
    const auto ejectionLimit = static_cast<std::size_t>(std::ceil(this->limits.maxEjectedShare * static_cast<double>(this->backends.size())));
    const std::size_t maxEjected = std::min(ejectionLimit, this->backends.size() - 1);
    if (backend.failures < this->limits.failuresToEject || this->ejectedCount(now) >= maxEjected) {
        return;
    }
    const std::uint32_t exponent = std::min(backend.failures - this->limits.failuresToEject, maxEjectionExponent);
    backend.ejectedUntil = now + minEjection * (1 << exponent);
}

bool QuickRouter::mayRetry(const PendingRequest &pending, AttemptEnd end, Timestamp now)
{
    if (pending.attempts >= this->limits.attempts || now >= pending.request.deadline) {
        return false;
    }
    if (end == AttemptEnd::NotSent || end == AttemptEnd::Refused) {
        return !pending.mayHaveRun || pending.request.isIdempotent;
    }
    const bool mayRepeat = pending.request.isIdempotent || !this->guards.retryOnlyIdempotent;
    if (!mayRepeat || this->retryTokens < 1) {
        return false;
    }
    this->retryTokens -= 1;
    return true;
}

void QuickRouter::finish(std::uint64_t id, RequestOutcome outcome, std::uint64_t attempt, GiveUpReason reason)
{
    Finished result;
    result.request = id;
    result.outcome = outcome;
    result.attempt = attempt;
    result.reason = reason;
    this->finished.push_back(result);
    this->pendingRequests.erase(id);
}

void QuickRouter::giveUp(Timestamp now, std::uint64_t id, GiveUpReason reason)
{
    const bool mayHaveReachedWorker = this->pendingRequests.at(id).mayHaveRun;
    this->finish(id, mayHaveReachedWorker ? RequestOutcome::Unknown : RequestOutcome::NotRun, 0, reason);
    this->finished.back().retryAfter = this->retryAfter(now);
}

Duration QuickRouter::expectedWait(Timestamp now) const
{
    std::uint32_t slots = 0;
    for (const auto &[name, backend] : this->backends) {
        slots += now < backend.leaseEnd ? backend.cap : 0;
    }
    if (slots == 0) {
        return absl::InfiniteDuration();
    }
    const double drainRate = slots / std::max(this->meanServiceSeconds, 1e-6);
    return absl::Seconds(static_cast<double>(this->queue.size() + 1) / drainRate);
}

Duration QuickRouter::retryAfter(Timestamp now)
{
    const Duration wait = std::min(std::max(this->expectedWait(now), minRetryAfter), absl::Seconds(10));
    std::uniform_real_distribution<double> jitter(1.0, 1.5);
    return wait * jitter(this->random);
}

void QuickRouter::tick(Timestamp now)
{
    while (!this->heldSlots.empty() && std::get<0>(*this->heldSlots.begin()) <= now) {
        const auto backend = this->backends.find(std::get<2>(*this->heldSlots.begin()));
        if (backend != this->backends.end()) {
            --backend->second.inUse;
        }
        this->heldSlots.erase(this->heldSlots.begin());
    }
    while (!this->queue.empty() && this->queue.begin()->first <= now) {
        const std::uint64_t id = this->queue.begin()->second;
        this->queue.erase(this->queue.begin());
        this->giveUp(now, id, GiveUpReason::DeadlinePassed);
    }
    this->abandonExpired(now);
    this->dispatchQueue(now);
}

void QuickRouter::dispatchQueue(Timestamp now)
{
    while (!this->queue.empty()) {
        const auto first = *this->queue.begin();
        if (first.first > now && !this->sendToWorker(now, this->pendingRequests.at(first.second))) {
            return;
        }
        this->queue.erase(first);
        if (first.first <= now) {
            this->giveUp(now, first.second, GiveUpReason::DeadlinePassed);
        }
    }
}

void QuickRouter::setLimits(std::size_t queuedRequests, double retryBudget)
{
    this->limits.queuedRequests = queuedRequests;
    this->limits.retryBudget = retryBudget;
}

void QuickRouter::setShares(Timestamp now, Timestamp sentAt, const wire::SharesReplyT &reply)
{
    for (auto &[name, backend] : this->backends) {
        if (!reply.isChange) {
            backend.cap = 0;
        }
        backend.leaseEnd = sentAt + absl::Milliseconds(reply.leaseMillis);
    }
    for (const auto &share : reply.shares) {
        const auto [found, isNew] = this->backends.try_emplace(share->worker);
        Backend &backend = found->second;
        backend.address = share->address;
        backend.cap = share->slots;
        backend.connections = share->connections;
        backend.leaseEnd = sentAt + absl::Milliseconds(reply.leaseMillis);
        backend.validUntilWorkerMicros = share->validUntilWorkerMicros;
        backend.grantedAt = sentAt;
        if (isNew) {
            this->names.push_back(share->worker);
        }
    }
    // Workers with neither a share nor a slot in use are removed. Otherwise the table would grow with every worker ever seen.
    std::erase_if(this->names, [this](const std::string &name) {
        const Backend &backend = this->backends.at(name);
        const bool isUnused = backend.cap == 0 && backend.inUse == 0;
        if (isUnused) {
            this->backends.erase(name);
        }
        return isUnused;
    });
    this->dispatchQueue(now);
}

void QuickRouter::setHopTargets(const std::vector<std::pair<std::string, std::string>> &targets)
{
    this->hopTargets.clear();
    for (const auto &[name, address] : targets) {
        this->hopTargets.push_back({name, address, absl::InfinitePast()});
    }
}

std::vector<Attempt> QuickRouter::drainAttempts()
{
    return std::exchange(this->attempts, {});
}

std::vector<Finished> QuickRouter::drainFinished()
{
    return std::exchange(this->finished, {});
}

std::vector<wire::ShareUseT> QuickRouter::uses(bool onlyAboveShare) const
{
    std::vector<wire::ShareUseT> list;
    for (const auto &[name, backend] : this->backends) {
        if (onlyAboveShare && backend.inUse <= backend.cap) {
            continue;
        }
        wire::ShareUseT use;
        use.worker = name;
        use.cap = backend.cap;
        use.inUse = backend.inUse;
        list.push_back(std::move(use));
    }
    return list;
}

std::uint32_t QuickRouter::demand() const
{
    return static_cast<std::uint32_t>(this->pendingRequests.size());
}

std::size_t QuickRouter::queued() const
{
    return this->queue.size();
}

std::size_t QuickRouter::inFlight() const
{
    return this->inFlightAttempts.size();
}

} // namespace paddlepier::routing
