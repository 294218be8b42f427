// `paddlepier serve`: runs one entry instance until a signal asks it to stop.
//
// SIGTERM and SIGINT ask for a planned stop, which cuts off no request in flight.
// Thread safety: none; called once by the program's first thread.

#ifndef PADDLEPIER_CLI_SERVE_H
#define PADDLEPIER_CLI_SERVE_H

#include "paddlepier/settings/settings.h"

namespace paddlepier::cli
{

/** Returns after a planned stop. @throws any Error that makes the instance unable to start */
void serve(const Settings &settings);

} // namespace paddlepier::cli

#endif
