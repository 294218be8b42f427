// Creation of sockets between paddlepier processes, and their options for the detection of unresponsive peers.
//
// Thread safety: free functions without state.

#ifndef PADDLEPIER_PEER_SOCKETS_H
#define PADDLEPIER_PEER_SOCKETS_H

#include "paddlepier/settings/settings.h"

namespace paddlepier::peer
{

/** Opens a non-blocking stream socket of the endpoint's address family. @return negative on failure */
int openSocket(const Endpoint &endpoint);

/** Disables Nagle's algorithm, and limits how long sent data may stay unacknowledged before the connection is closed. */
void setOutgoingOptions(int socket);

/** Enables keepalive, so that a connection whose peer disappeared without closing it is closed. */
void setIncomingOptions(int socket);

/** Whether the connection is established. */
bool isSocketConnected(int socket);

} // namespace paddlepier::peer

#endif
