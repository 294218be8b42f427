// Dealing of workers' slots to entry instances.

#include "paddlepier/routing/shareallocator.h"

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <bit>

namespace paddlepier::routing
{

ShareDealer::ShareDealer(std::map<std::string, std::vector<std::string>> entriesByPartner, ShareTiming shareTiming, Timestamp since, ShareGuards shareGuards)
    : entries(std::move(entriesByPartner))
    , timing(shareTiming)
    , leaderSince(since)
    , guards(shareGuards)
{
}

Duration ShareDealer::holdTime() const
{
    const Duration longest = this->timing.lease + this->timing.longestRequest;
    return longest * (1.0 + 2.0 * this->timing.driftPerMille / 1000.0);
}

void ShareDealer::dropSilent(Timestamp now)
{
    for (auto &[partner, byKey] : this->holders) {
        for (auto holder = byKey.begin(); holder != byKey.end();) {
            holder = now >= holder->second.heldUntil ? byKey.erase(holder) : std::next(holder);
        }
    }
}

bool ShareDealer::maySpread(Timestamp now, const std::string &partner) const
{
    if (!this->guards.waitForEntries || now >= this->leaderSince + this->holdTime()) {
        return true;
    }
    const auto known = this->entries.find(partner);
    const auto spoken = this->heard.find(partner);
    return spoken != this->heard.end() && spoken->second.size() >= known->second.size();
}

std::uint32_t ShareDealer::heldByOthers(const std::string &partner, const std::string &worker, const HolderKey &self) const
{
    std::uint32_t sum = 0;
    for (const auto &[key, holder] : this->holders.at(partner)) {
        const auto found = holder.held.find(worker);
        if (key != self && found != holder.held.end()) {
            sum += found->second;
        }
    }
    return sum;
}

std::uint32_t ShareDealer::demandOf(const std::string &partner, const std::string &instance) const
{
    std::uint32_t demand = 0;
    for (const auto &[key, holder] : this->holders.at(partner)) {
        if (key.first == instance) {
            demand = std::max(demand, holder.demand);
        }
    }
    // Every entry counts as wanting a little, so that one without requests can take the first at once; in powers of two,
    // so that small changes of demand don't move shares.
    return std::bit_ceil(demand + 1);
}

std::uint32_t ShareDealer::target(const std::string &partner, const std::string &instance, const ServingWorker &worker, std::size_t position) const
{
    const std::vector<std::string> &names = this->entries.at(partner);
    double all = 0;
    double before = 0;
    double own = 0;
    // Entries are ordered anew for each worker: otherwise rounding would favour the same one at all workers.
    for (std::size_t step = 0; step < names.size(); ++step) {
        const std::string &name = names[(step + position) % names.size()];
        const double demand = this->demandOf(partner, name);
        before += own == 0 && name != instance ? demand : 0;
        own = name == instance ? demand : own;
        all += demand;
    }
    // Cutting one line at each entry's running sum makes whole numbers that add up to the slots exactly.
    const auto cut = [&](double sum) { return static_cast<std::uint32_t>(sum / all * worker.slots + 1e-9); };
    return cut(before + own) - cut(before);
}

void ShareDealer::noteHeld(const wire::SharesRequestT &request, bool isBaseKnown, Holder &holder) const
{
    holder.held.clear();
    if (isBaseKnown && this->guards.countHeld) {
        holder.held = holder.granted;
    }
    for (const auto &use : request.uses) {
        const std::uint32_t most = std::max(use->cap, use->inUse);
        std::uint32_t &held = holder.held[use->worker];
        held = this->guards.countHeld ? std::max(held, most) : 0;
    }
}

wire::SharesReplyT ShareDealer::deal(Timestamp now, const wire::SharesRequestT &request, const std::vector<ServingWorker> &workers)
{
    const auto known = this->entries.find(request.partner);
    if (known == this->entries.end() || std::find(known->second.begin(), known->second.end(), request.instance) == known->second.end()) {
        throw ConflictError(absl::StrCat(request.instance, " is not an entry instance of ", request.partner, " here"));
    }
    this->dropSilent(now);
    const HolderKey key{request.instance, request.incarnation};
    const auto &sameRuns = this->holders[request.partner];
    const auto earlier = sameRuns.find(key);
    const std::uint64_t newest = earlier == sameRuns.end() ? 0 : earlier->second.sequence;
    const bool isBaseKnown = request.baseSequence != 0 && request.baseSequence == newest;
    if (!request.isComplete && !isBaseKnown) {
        throw ConflictError("the request must be complete: its base is not known here");
    }
    Holder &holder = this->holders[request.partner][key];
    if (request.sequence <= holder.sequence) {
        throw ConflictError(absl::StrCat("sequence ", request.sequence, " of ", request.instance, " was answered"));
    }
    holder.demand = request.demand;
    holder.heldUntil = now + this->holdTime();
    this->noteHeld(request, isBaseKnown, holder);
    holder.sequence = request.sequence;
    if (absl::Milliseconds(request.ageMillis) >= this->holdTime()) {
        this->heard[request.partner].insert(request.instance);
    }

    wire::SharesReplyT reply;
    reply.isChange = isBaseKnown;
    reply.leaseMillis = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(this->timing.lease));
    const bool spread = this->maySpread(now, request.partner);
    const auto entryCount = static_cast<std::uint32_t>(known->second.size());
    absl::flat_hash_map<std::string, std::uint32_t> granted;
    for (std::size_t position = 0; position < workers.size(); ++position) {
        const ServingWorker &worker = workers[position];
        const std::uint32_t others = this->heldByOthers(request.partner, worker.name, key);
        const std::uint32_t room = worker.slots > others ? worker.slots - others : 0;
        std::uint32_t &held = holder.held[worker.name];
        const std::uint32_t wanted = this->target(request.partner, request.instance, worker, position);
        const std::uint32_t slots = std::min(wanted, spread || worker.isFresh ? room : std::min(room, held));
        held = std::max(held, slots);
        const auto before = holder.granted.find(worker.name);
        const std::uint32_t grantedBefore = before == holder.granted.end() ? 0 : before->second;
        granted[worker.name] = slots;
        if (slots == (isBaseKnown ? grantedBefore : 0)) {
            continue;
        }
        auto share = std::make_unique<wire::ShareT>();
        share->worker = worker.name;
        share->address = worker.address;
        share->slots = slots;
        share->connections = std::max(worker.connections / std::max(entryCount, 1U), 1U);
        share->validUntilWorkerMicros = worker.clockMicros + absl::ToInt64Microseconds(this->timing.lease);
        reply.shares.push_back(std::move(share));
    }
    for (const auto &[worker, slots] : holder.granted) {
        if (isBaseKnown && slots > 0 && !granted.contains(worker)) {
            auto share = std::make_unique<wire::ShareT>();
            share->worker = worker;
            reply.shares.push_back(std::move(share));
        }
    }
    holder.granted = std::move(granted);
    return reply;
}

} // namespace paddlepier::routing
