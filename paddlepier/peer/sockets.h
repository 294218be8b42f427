// Sockets between our own processes, and what makes a silent connection end.
//
// Thread safety: free functions without state.

#ifndef PADDLEPIER_PEER_SOCKETS_H
#define PADDLEPIER_PEER_SOCKETS_H

#include "paddlepier/settings/settings.h"

namespace paddlepier::peer
{

/** A non-blocking stream socket of the endpoint's family; negative if there is none to be had. */
int openSocket(const Endpoint &endpoint);

/** Sends small frames at once, and ends the connection when bytes stay unacknowledged. */
void setOutgoingOptions(int socket);

/** Ends the connection when its other side is gone without a word. */
void setIncomingOptions(int socket);

/** The other side has taken the connection. */
bool isSocketConnected(int socket);

} // namespace paddlepier::peer

#endif
