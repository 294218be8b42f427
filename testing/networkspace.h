// Network namespaces for tests: each process gets a separate loopback interface, so that a forwarder can be placed between
// any two processes at the addresses that they use for each other.
//
// Example:
//     if (const std::optional<int> status = runInOwnNetwork(argv)) {   // the first statement of main()
//         return *status;
//     }
//     NetworkSpace space;
//     space.inside([&] { process.emplace(words, output); });
//
// Thread safety: inside() from any thread; it changes the namespace of the calling thread only, and restores it.

#ifndef PADDLEPIER_TESTING_NETWORKSPACE_H
#define PADDLEPIER_TESTING_NETWORKSPACE_H

#include <functional>
#include <optional>

namespace paddlepier::testing
{

/**
 * Executes the program again, with the same arguments, in new user, process and network namespaces in which only loopback
 * is up. It needs no privilege. The kernel ends all processes of the namespace when the program ends, for any reason.
 * @return nothing in the new namespaces, where the program continues; outside, its exit status, or 2 if the machine does not allow namespaces
 */
std::optional<int> runInOwnNetwork(char **argv);

class NetworkSpace
{
public:
    /** @throws InternalError if the process was not started through runInOwnNetwork() */
    NetworkSpace();
    ~NetworkSpace();

    NetworkSpace(const NetworkSpace &) = delete;
    NetworkSpace &operator=(const NetworkSpace &) = delete;

    /** Runs @p action with the calling thread in this namespace; sockets and processes that it creates belong to the namespace. */
    void inside(const std::function<void()> &action) const;

private:
    int descriptor = -1;
};

} // namespace paddlepier::testing

#endif
