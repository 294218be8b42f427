// Converts endpoints to socket addresses.
//
// Example:
//     const SocketAddress address = toSocketAddress(settings.http);
//     bind(descriptor, address.pointer(), address.size);
//
// Thread safety: plain values; a stateless free function.

#ifndef PADDLEPIER_SETTINGS_SOCKETADDRESS_H
#define PADDLEPIER_SETTINGS_SOCKETADDRESS_H

#include "paddlepier/settings/settings.h"

#include <sys/socket.h>

namespace paddlepier
{

/** An IPv4 or IPv6 address in the form that bind() and connect() expect. */
struct SocketAddress {
    sockaddr_storage storage{};
    socklen_t size = 0;

    const sockaddr *pointer() const
    {
        return reinterpret_cast<const sockaddr *>(&this->storage);
    }

    bool isVersion6() const
    {
        return this->storage.ss_family == AF_INET6;
    }
};

/** @p endpoint must hold a numeric address, as returned by Endpoint::parse(). */
SocketAddress toSocketAddress(const Endpoint &endpoint);

} // namespace paddlepier

#endif
