// Stand-ins for the platform's backend servers, as a program of its own: servers of 4 cores at consecutive loopback addresses.
//
// They follow PROTOCOL.md: testing/platformworkers.h with execution/fakeworkers.h. The id of a job tells what its tasks do:
//     1a57...  they last until they are stopped, and are at work after 400 ms;
//     bad0...  they fail by their own fault after 200 ms, on every server;
//     c4a5...  they last, and take each server down 6.5 s after they have started there; another one is back after 0.3 to 3 s;
//     others   they end as done after 300 ms.
// Writes a line to standard output for each event of a run: milliseconds since 1970, event, server, task, run and end. Ends on SIGTERM.

#include "testing/platformworkers.h"

#include "paddlepier/base/log.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace paddlepier::review
{

namespace
{

constexpr std::uint16_t serverPort = 8000;
constexpr std::uint32_t firstHost = 101;
constexpr Duration crashDelay = absl::Milliseconds(6500);

work::StepSpecT makeStep(std::uint32_t milliProcessors, std::uint32_t estimatedMillis, bool isLasting)
{
    work::StepSpecT step;
    step.count = 1;
    step.demand = std::make_unique<work::Demand>(milliProcessors, 100, 0);
    step.estimatedMillis = estimatedMillis;
    step.isLasting = isLasting;
    return step;
}

bool isHopeless(const workload::TaskKey &task)
{
    return absl::StartsWith(task.job, "bad0");
}

bool isCrashing(const workload::TaskKey &task)
{
    return absl::StartsWith(task.job, "c4a5");
}

const work::StepSpecT &stepOf(const workload::TaskKey &task)
{
    static const work::StepSpecT lasting = makeStep(200, 400, true);
    static const work::StepSpecT hopeless = makeStep(1800, 200, false);
    static const work::StepSpecT quick = makeStep(500, 300, false);
    return absl::StartsWith(task.job, "1a57") || isCrashing(task) ? lasting : isHopeless(task) ? hopeless : quick;
}

void writeEvent(const execution::FakeWorkers::Event &event)
{
    using Kind = execution::FakeWorkers::EventKind;
    const char *name = event.kind == Kind::Started ? "started" : event.kind == Kind::Ended ? "ended" : "acknowledged";
    const char *end = event.kind == Kind::Started ? "" : work::EnumNameRunEndKind(event.end);
    const long long millis = absl::ToUnixMillis(absl::Now());
    std::printf("%lld %s %s %s %u %s\n", millis, name, event.worker.c_str(), event.task.text().c_str(), event.run, end);
    std::fflush(stdout);
}

/** @param arguments  network (the first three bytes of all addresses), number of servers, control addresses */
int run(const std::vector<std::string> &arguments)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    log::initialize(log::Level::Error);
    const std::vector<std::string> controls(arguments.begin() + 2, arguments.end());
    std::size_t calls = 0;
    testing::PlatformWorkers workers([&controls, &calls] { return controls[calls++ % controls.size()]; }, stepOf);
    workers.inspect([](execution::FakeWorkers &fake) {
        fake.observer = writeEvent;
        fake.crashDelay = crashDelay;
        fake.isCrashing = [](const workload::TaskKey &task, std::uint32_t) { return isCrashing(task); };
        fake.isFailing = [](const workload::TaskKey &task, std::uint32_t) { return isHopeless(task); };
    });
    const auto count = static_cast<std::uint32_t>(std::atoi(arguments[1].c_str()));
    for (std::uint32_t number = 0; number < count; ++number) {
        const std::string host = absl::StrCat(arguments[0], ".", firstHost + number);
        workers.add(host, {host, serverPort});
    }
    int received = 0;
    sigwait(&signals, &received);
    for (const std::string &violation : workers.violations()) {
        std::printf("violation %s\n", violation.c_str());
    }
    return 0;
}

} // namespace

} // namespace paddlepier::review

int main(int count, char **arguments)
{
    if (count < 4) {
        std::fprintf(stderr, "usage: servers NETWORK COUNT CONTROL...\n");
        return 2;
    }
    return paddlepier::review::run(std::vector<std::string>(arguments + 1, arguments + count));
}
