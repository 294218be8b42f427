// Permits of a core instance to relay orders for the leader.

#include "paddlepier/cluster/relaypermits.h"

#include <algorithm>

namespace paddlepier::cluster
{

void RelayPermits::confirmLeader(const std::string &instance, Timestamp sentAt)
{
    if (sentAt < this->confirmedSentAt) {
        return;
    }
    if (!this->permit || instance != this->leader) {
        if (this->permit) {
            this->permit->revoke();
        }
        this->leader = instance;
        this->permit = std::make_shared<execution::SendPermit>();
    }
    this->confirmedSentAt = sentAt;
    this->permit->extendTo(sentAt + maxLeaderConfirmationAge);
}

std::shared_ptr<const execution::SendPermit> RelayPermits::permitFor(Timestamp now, const std::string &instance) const
{
    return this->permit && instance == this->leader && this->permit->isValid(now) ? this->permit : nullptr;
}

} // namespace paddlepier::cluster
