// Socket addresses of endpoints.
//
// Example:
//     const SocketAddress address = toSocketAddress(settings.http);
//     bind(descriptor, address.pointer(), address.size);
//
// Thread safety: plain values; a free function without state.

#ifndef PADDLEPIER_SETTINGS_SOCKETADDRESS_H
#define PADDLEPIER_SETTINGS_SOCKETADDRESS_H

#include "paddlepier/settings/settings.h"

#include <sys/socket.h>

namespace paddlepier
{

/** An address as the system's calls take it. */
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

/** @p endpoint must hold a numeric address, as Endpoint::parse() gives. */
SocketAddress toSocketAddress(const Endpoint &endpoint);

} // namespace paddlepier

#endif
