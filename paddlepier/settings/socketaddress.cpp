// Converts endpoints to socket addresses.

#include "paddlepier/settings/socketaddress.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace paddlepier
{

SocketAddress toSocketAddress(const Endpoint &endpoint)
{
    SocketAddress address;
    auto &version6 = reinterpret_cast<sockaddr_in6 &>(address.storage);
    if (inet_pton(AF_INET6, endpoint.address.c_str(), &version6.sin6_addr) == 1) {
        version6.sin6_family = AF_INET6;
        version6.sin6_port = htons(endpoint.port);
        address.size = sizeof(sockaddr_in6);
        return address;
    }
    auto &version4 = reinterpret_cast<sockaddr_in &>(address.storage);
    version4.sin_family = AF_INET;
    version4.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &version4.sin_addr);
    address.size = sizeof(sockaddr_in);
    return address;
}

} // namespace paddlepier
