// Network namespaces of a test: processes that each have a loopback of their own, so that a forwarder can stand between
// any two of them at the very addresses by which they know each other.
//
// Example:
//     if (const std::optional<int> status = runInOwnNetwork(words)) {   // first thing in main()
//         return *status;
//     }
//     NetworkSpace space;
//     space.inside([&] { process.emplace(words, output); });
//
// Thread safety: inside() from any thread; it moves the calling thread alone, and back.

#ifndef PADDLEPIER_TESTING_NETWORKSPACE_H
#define PADDLEPIER_TESTING_NETWORKSPACE_H

#include <functional>
#include <optional>

namespace paddlepier::testing
{

/**
 * Runs the program again, with the same words, in user, process and network namespaces of its own, where only loopback is
 * up. It needs no privilege. Whatever the program starts there ends with it, however it ends.
 * @return nothing inside, where the program goes on; outside, its exit status, or 2 if the machine allows no namespaces
 */
std::optional<int> runInOwnNetwork(char **words);

class NetworkSpace
{
public:
    /** @throws InternalError if the process isn't in namespaces of its own */
    NetworkSpace();
    ~NetworkSpace();

    NetworkSpace(const NetworkSpace &) = delete;
    NetworkSpace &operator=(const NetworkSpace &) = delete;

    /** Runs @p action with the calling thread inside; sockets and processes that it makes belong to this space. */
    void inside(const std::function<void()> &action) const;

private:
    int descriptor = -1;
};

} // namespace paddlepier::testing

#endif
