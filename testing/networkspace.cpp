// Network namespaces for tests.

#include "testing/networkspace.h"

#include "paddlepier/base/error.h"

#include <fcntl.h>
#include <net/if.h>
#include <sched.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <string>

namespace paddlepier::testing
{

namespace
{

int openCurrent()
{
    return ::open("/proc/thread-self/ns/net", O_RDONLY | O_CLOEXEC);
}

bool bringUpLoopback()
{
    const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    ifreq request{};
    std::strncpy(request.ifr_name, "lo", sizeof(request.ifr_name) - 1);
    request.ifr_flags = IFF_UP;
    const bool isUp = ::ioctl(socket, SIOCSIFFLAGS, &request) == 0;
    ::close(socket);
    return isUp;
}

void mapOwnUser(uid_t user, gid_t group)
{
    std::ofstream("/proc/self/setgroups") << "deny";
    std::ofstream("/proc/self/uid_map") << user << " " << user << " 1";
    std::ofstream("/proc/self/gid_map") << group << " " << group << " 1";
}

/** Set for the program that runs in the new namespaces. */
constexpr const char *insideVariable = "PADDLEPIER_OWN_NETWORK";

constexpr int cannotRun = 2;

/** Runs @p action in a child process, which the kernel ends together with this one. */
template<typename Action>
pid_t forkWith(const Action &action)
{
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::_exit(action());
    }
    return child;
}

int statusOf(pid_t child)
{
    int status = 0;
    ::waitpid(child, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

int executeAgain(char **argv)
{
    ::setenv(insideVariable, "1", 1);
    ::execv("/proc/self/exe", argv);
    return cannotRun;
}

/** Must run in a forked child: only a single-threaded process may create a user namespace. */
int runInside(char **argv)
{
    const uid_t user = ::getuid();
    const gid_t group = ::getgid();
    if (::unshare(CLONE_NEWUSER | CLONE_NEWNET | CLONE_NEWPID) != 0) {
        std::perror("cannot create user, network and process namespaces: unshare");
        return cannotRun;
    }
    mapOwnUser(user, group);
    if (!bringUpLoopback()) {
        std::perror("cannot bring up loopback in the network namespace");
        return cannotRun;
    }
    return statusOf(forkWith([argv] { return executeAgain(argv); }));
}

/** Restores the calling thread's network namespace on destruction. */
class NamespaceRestorer
{
public:
    ~NamespaceRestorer()
    {
        ::setns(this->original, CLONE_NEWNET);
        ::close(this->original);
    }

private:
    const int original = openCurrent();
};

} // namespace

std::optional<int> runInOwnNetwork(char **argv)
{
    if (std::getenv(insideVariable) != nullptr) {
        return std::nullopt;
    }
    return statusOf(forkWith([argv] { return runInside(argv); }));
}

NetworkSpace::NetworkSpace()
{
    const NamespaceRestorer restorer;
    if (::unshare(CLONE_NEWNET) != 0 || !bringUpLoopback()) {
        throw InternalError("cannot create a network namespace");
    }
    this->descriptor = openCurrent();
}

NetworkSpace::~NetworkSpace()
{
    ::close(this->descriptor);
}

void NetworkSpace::inside(const std::function<void()> &action) const
{
    const NamespaceRestorer restorer;
    if (::setns(this->descriptor, CLONE_NEWNET) != 0) {
        throw InternalError("cannot enter the network namespace");
    }
    action();
}

} // namespace paddlepier::testing
