// Number of transfers that may be in flight to each host at the same time.

#include "paddlepier/http/hostlimits.h"

#include <algorithm>

namespace paddlepier::http
{

void HostLimits::setMaxPerHost(std::size_t transfers)
{
    this->maxPerHost = transfers;
}

bool HostLimits::isScarce(const Host &host) const
{
    return host.limit < this->maxPerHost;
}

bool HostLimits::isScarce(const std::string &host) const
{
    const auto found = this->hosts.find(host);
    return found != this->hosts.end() && this->isScarce(found->second);
}

bool HostLimits::tryBegin(const std::string &host, Timestamp now)
{
    Host &entry = this->hosts[host];
    if (entry.inFlight >= entry.limit && this->isScarce(entry) && now - entry.changedAt >= limitIncreaseInterval) {
        ++entry.limit;
        entry.changedAt = now;
    }
    if (entry.inFlight >= std::min(entry.limit, this->maxPerHost)) {
        return false;
    }
    ++entry.inFlight;
    return true;
}

void HostLimits::end(const std::string &host)
{
    const auto found = this->hosts.find(host);
    --found->second.inFlight;
    if (found->second.inFlight == 0 && !this->isScarce(found->second)) {
        this->hosts.erase(found);
    }
}

void HostLimits::recordRefusal(const std::string &host, std::size_t openConnections, Timestamp now)
{
    Host &entry = this->hosts[host];
    entry.limit = std::max<std::size_t>(1, std::min({entry.limit, this->maxPerHost, openConnections}));
    entry.changedAt = now;
}

} // namespace paddlepier::http
