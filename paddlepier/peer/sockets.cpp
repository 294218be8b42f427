// Sockets between paddlepier processes.

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
 * A connection is closed once data has been unacknowledged for this time: three of TCP's shortest retransmission intervals. Without the limit,
 * TCP's backoff would keep an unresponsive connection open long after a network failure has ended.
 */
constexpr unsigned int unacknowledgedMillis = 800;

/** Keepalive of incoming connections: an unresponsive one is closed after about four seconds. */
constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

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
    sockaddr_storage peer{};
    socklen_t size = sizeof(peer);
    return ::getpeername(socket, reinterpret_cast<sockaddr *>(&peer), &size) == 0;
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
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

} // namespace paddlepier::peer
