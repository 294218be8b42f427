// Network namespaces of a test.

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

bool raiseLoopback()
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

/** Set for the program that runs inside. */
constexpr const char *insideVariable = "PADDLEPIER_OWN_NETWORK";

constexpr int cannotRun = 2;

/** Runs @p action in a process of its own, which ends with this one. */
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

int runAgain(char **words)
{
    ::setenv(insideVariable, "1", 1);
    ::execv("/proc/self/exe", words);
    return cannotRun;
}

/** Only a process of one thread, as a fork is, may have a user namespace of its own. */
int runInside(char **words)
{
    const uid_t user = ::getuid();
    const gid_t group = ::getgid();
    if (::unshare(CLONE_NEWUSER | CLONE_NEWNET | CLONE_NEWPID) != 0) {
        std::perror("no namespaces of its own on this machine: unshare");
        return cannotRun;
    }
    mapOwnUser(user, group);
    if (!raiseLoopback()) {
        std::perror("no loopback in a network namespace");
        return cannotRun;
    }
    return statusOf(forkWith([words] { return runAgain(words); }));
}

/** Brings the calling thread back to where it was. */
class Return
{
public:
    ~Return()
    {
        ::setns(this->before, CLONE_NEWNET);
        ::close(this->before);
    }

private:
    const int before = openCurrent();
};

} // namespace

std::optional<int> runInOwnNetwork(char **words)
{
    if (std::getenv(insideVariable) != nullptr) {
        return std::nullopt;
    }
    return statusOf(forkWith([words] { return runInside(words); }));
}

NetworkSpace::NetworkSpace()
{
    const Return back;
    if (::unshare(CLONE_NEWNET) != 0 || !raiseLoopback()) {
        throw InternalError("no network namespace can be made");
    }
    this->descriptor = openCurrent();
}

NetworkSpace::~NetworkSpace()
{
    ::close(this->descriptor);
}

void NetworkSpace::inside(const std::function<void()> &action) const
{
    const Return back;
    if (::setns(this->descriptor, CLONE_NEWNET) != 0) {
        throw InternalError("a network namespace can't be entered");
    }
    action();
}

} // namespace paddlepier::testing
