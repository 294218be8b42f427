// `paddlepier serve`: signal handling around the instance.

#include "paddlepier/cli/serve.h"

#include "paddlepier/base/log.h"
#include "paddlepier/instance/instance.h"

#include <pthread.h>
#include <signal.h>

#include <thread>

namespace paddlepier::cli
{

void serve(const Settings &settings)
{
    // Block the signals before any thread is started: threads inherit the mask, so only sigwait() below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    log::initialize(settings.logLevel);
    instance::Instance instance(settings);
    std::thread waiter([&signals, &instance] {
        int received = 0;
        sigwait(&signals, &received);
        instance.requestStop();
    });
    instance.run();
    waiter.join();
}

} // namespace paddlepier::cli
