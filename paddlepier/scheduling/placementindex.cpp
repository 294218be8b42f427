// Index of the free capacity of workers.

#include "paddlepier/scheduling/placementindex.h"

namespace paddlepier::scheduling
{

bool PlacementIndex::KeyOrder::operator()(const Key &left, const Key &right) const
{
    if (std::get<0>(left) != std::get<0>(right)) {
        return std::get<0>(left) < std::get<0>(right);
    }
    if (std::get<1>(left) != std::get<1>(right)) {
        return std::get<1>(left) < std::get<1>(right);
    }
    if (std::get<2>(left) != std::get<2>(right)) {
        return std::get<2>(left) < std::get<2>(right);
    }
    const Candidate *leftCandidate = std::get<3>(left);
    const Candidate *rightCandidate = std::get<3>(right);
    if (leftCandidate == nullptr || rightCandidate == nullptr) {
        return leftCandidate == nullptr && rightCandidate != nullptr;
    }
    return leftCandidate->worker < rightCandidate->worker;
}

PlacementIndex::Key PlacementIndex::keyOf(const Candidate &candidate)
{
    return {candidate.free.milliProcessors(), candidate.free.memoryMegabytes(), candidate.free.accelerators(), &candidate};
}

PlacementIndex::Order &PlacementIndex::orderOf(const Candidate &candidate)
{
    return candidate.free.accelerators() > 0 ? this->accelerated : this->plain;
}

void PlacementIndex::set(const std::string &worker, const std::string &rack, const Resources &free)
{
    const auto [found, isNew] = this->byName.try_emplace(worker);
    if (isNew) {
        found->second = std::make_unique<Candidate>(Candidate{worker, rack, free});
        this->orderOf(*found->second).insert(keyOf(*found->second));
        return;
    }
    found->second->rack = rack;
    this->change(worker, free);
}

void PlacementIndex::change(const std::string &worker, const Resources &free)
{
    Candidate &candidate = *this->byName.at(worker);
    // The node of the tree is moved to its new position, which avoids an allocation.
    auto node = this->orderOf(candidate).extract(keyOf(candidate));
    candidate.free = free;
    node.value() = keyOf(candidate);
    this->orderOf(candidate).insert(std::move(node));
}

void PlacementIndex::remove(const std::string &worker)
{
    const auto found = this->byName.find(worker);
    if (found != this->byName.end()) {
        this->orderOf(*found->second).erase(keyOf(*found->second));
        this->byName.erase(found);
    }
}

void PlacementIndex::clear()
{
    this->plain.clear();
    this->accelerated.clear();
    this->byName.clear();
}

void PlacementIndex::reserve(const std::string &worker, const Resources &need)
{
    this->change(worker, ledger::minus(this->byName.at(worker)->free, need));
}

void PlacementIndex::release(const std::string &worker, const Resources &need)
{
    this->change(worker, ledger::plus(this->byName.at(worker)->free, need));
}

const Candidate *PlacementIndex::bestFitIn(const Order &order, const Resources &need)
{
    const Key lowest{need.milliProcessors(), need.memoryMegabytes(), need.accelerators(), nullptr};
    for (auto entry = order.lower_bound(lowest); entry != order.end(); ++entry) {
        const Candidate &candidate = *std::get<3>(*entry);
        if (ledger::fits(need, candidate.free)) {
            return &candidate;
        }
    }
    return nullptr;
}

const Candidate *PlacementIndex::bestFit(const Resources &need) const
{
    if (need.accelerators() == 0) {
        const Candidate *found = bestFitIn(this->plain, need);
        if (found != nullptr) {
            return found;
        }
    }
    return bestFitIn(this->accelerated, need);
}

const Candidate *PlacementIndex::find(const std::string &worker) const
{
    const auto found = this->byName.find(worker);
    return found == this->byName.end() ? nullptr : found->second.get();
}

std::size_t PlacementIndex::size() const
{
    return this->byName.size();
}

} // namespace paddlepier::scheduling
