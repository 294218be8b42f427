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

void HostLimits::recordRefusal(const std::string &host, std::size_t provenConnections, Timestamp now)
{
    if (provenConnections == 0) {
        return;
    }
    Host &entry = this->hosts[host];
    entry.limit = std::min({entry.limit, this->maxPerHost, provenConnections});
    entry.changedAt = now;
}

void HostLimits::reset(const std::string &host)
{
    const auto found = this->hosts.find(host);
    if (found == this->hosts.end()) {
        return;
    }
    found->second.limit = std::numeric_limits<std::size_t>::max();
    if (found->second.inFlight == 0) {
        this->hosts.erase(found);
    }
}

} // namespace paddlepier::http
