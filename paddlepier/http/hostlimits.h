// Number of transfers that may be in flight to each host at the same time, which bounds the connections to it.
//
// A server accepts a limited number of connections, shared by all clients. A client that loses power leaves its connections open there for good, so
// that the server may have none left for a new one, while those that are established keep working. Once a host refuses a connection, the limit for it
// falls to the number of connections that work, if there are any: further transfers wait for one of those instead of being refused too. The limit rises again,
// one connection at a time, while transfers wait and some time has passed since the last refusal.
//
// Example:
//     if (limits.tryBegin(host, now)) { /* start the transfer */ } else { /* it waits */ }
//     limits.end(host);                                  // the transfer has ended: start a waiting one
//     limits.recordRefusal(host, provenConnections, now);  // it ended because the host refused a new connection
//     limits.reset(host);                                // no connection to the host is open
//
// Thread safety: none. Cost: O(1). Hosts are kept while transfers are in flight, or connections to them are scarce.

#ifndef PADDLEPIER_HTTP_HOSTLIMITS_H
#define PADDLEPIER_HTTP_HOSTLIMITS_H

#include "paddlepier/base/clock.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <limits>
#include <string>

namespace paddlepier::http
{

/** Time after a refusal, or after an increase, before the limit of a host is raised by one. */
constexpr Duration limitIncreaseInterval = absl::Seconds(5);

class HostLimits
{
public:
    /** Transfers per host; unlimited by default. */
    void setMaxPerHost(std::size_t transfers);

    /** Counts a transfer to @p host as in flight if the limit allows it. */
    bool tryBegin(const std::string &host, Timestamp now);
    /** A transfer to @p host that was in flight has ended. */
    void end(const std::string &host);

    /**
     * Lowers the limit.
     *
     * @param provenConnections  connections to @p host over which a transfer has been completed. If there is none, the refusal says nothing about their
     *                           number, as when the server restarts, and the limit stays
     */
    void recordRefusal(const std::string &host, std::size_t provenConnections, Timestamp now);
    /** Restores the limit of @p host: there is no connection left that transfers could share. */
    void reset(const std::string &host);

    /** True if the limit of @p host is lowered: a connection that is closed may not be replaceable. */
    bool isScarce(const std::string &host) const;

private:
    struct Host {
        std::size_t inFlight = 0;
        /** Infinite while the host has refused nothing. */
        std::size_t limit = std::numeric_limits<std::size_t>::max();
        Timestamp changedAt = absl::InfinitePast();
    };

    bool isScarce(const Host &host) const;

    std::size_t maxPerHost = std::numeric_limits<std::size_t>::max();
    absl::flat_hash_map<std::string, Host> hosts;
};

} // namespace paddlepier::http

#endif
