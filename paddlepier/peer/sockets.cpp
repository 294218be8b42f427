// Sockets between our own processes.

#include "paddlepier/peer/sockets.h"

#include "paddlepier/settings/socketaddress.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace paddlepier::peer
{

namespace
{

/**
 * Unacknowledged bytes end a connection after this time: three of TCP's shortest retransmissions. A connection that has
 * fallen silent, or a cut, then doesn't outlast itself by TCP's backoff.
 */
constexpr unsigned int unacknowledgedMillis = 800;

/** Probes of a silent incoming connection, in seconds and tries: it is given up after about four seconds. */
constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveTries = 2;

void setOption(int socket, int level, int option, unsigned int value)
{
    ::setsockopt(socket, level, option, &value, sizeof(value));
}

} // namespace

int openSocket(const Endpoint &endpoint)
{
    return ::socket(toSocketAddress(endpoint).storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

bool isSocketConnected(int socket)
{
    sockaddr_storage other{};
    socklen_t size = sizeof(other);
    return ::getpeername(socket, reinterpret_cast<sockaddr *>(&other), &size) == 0;
}

void setOutgoingOptions(int socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMillis);
}

void setIncomingOptions(int socket)
{
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveTries);
}

} // namespace paddlepier::peer
