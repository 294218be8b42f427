// `paddlepier serve`: runs an entry instance until it receives SIGTERM or SIGINT.
//
// The signal starts a graceful stop, in which the requests in flight are completed.
// Thread safety: none; called once, by the program's main thread, before any other thread is started.

#ifndef PADDLEPIER_CLI_SERVE_H
#define PADDLEPIER_CLI_SERVE_H

#include "paddlepier/settings/settings.h"

namespace paddlepier::cli
{

/** Returns after a graceful stop. @throws Error if the instance can't start */
void serve(const Settings &settings);

} // namespace paddlepier::cli

#endif
