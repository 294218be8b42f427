// Program: one stand-in backend server, which runs until SIGTERM or SIGINT.

#include "testing/worker.h"

#include "paddlepier/base/log.h"

#include <absl/strings/str_split.h>
#include <signal.h>
#include <tclap/CmdLine.h>

#include <iostream>

using namespace paddlepier;

int main(int argc, char **argv)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        TCLAP::CmdLine line("Stand-in of a backend server", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> name("", "name", "name", true, "", "text", line);
        TCLAP::ValueArg<std::string> partner("", "partner", "partner", true, "", "text", line);
        TCLAP::ValueArg<std::string> dataCentre("", "data-centre", "data centre", true, "", "text", line);
        TCLAP::ValueArg<std::string> rack("", "rack", "rack", false, "r1", "text", line);
        TCLAP::ValueArg<std::string> token("", "token", "worker's token", true, "", "text", line);
        TCLAP::ValueArg<std::string> address("", "address", "where quick requests are served", true, "", "address:port", line);
        TCLAP::ValueArg<std::string> entries("", "entries", "entry instances", true, "", "address:port,...", line);
        TCLAP::ValueArg<std::uint64_t> processors("", "milli-processors", "capacity", false, 16000, "number", line);
        TCLAP::ValueArg<std::uint64_t> memory("", "memory", "capacity in MB", false, 32768, "number", line);
        TCLAP::ValueArg<std::uint64_t> accelerators("", "accelerators", "capacity", false, 0, "number", line);
        TCLAP::ValueArg<std::string> logPath("", "log", "log of its events", false, "/dev/null", "file", line);
        TCLAP::ValueArg<std::string> fault("", "fault", "none, truncate, wrong-id, stall, fail, doubled", false, "none", "name", line);
        TCLAP::ValueArg<std::int64_t> drainAfter("", "drain-after-millis", "when to drain", false, -1, "number", line);
        line.parse(argc, argv);
        log::initialize(log::Level::Error);
        testing::WorkerOptions options;
        options.name = name.getValue();
        options.partner = partner.getValue();
        options.dataCentre = dataCentre.getValue();
        options.rack = rack.getValue();
        options.token = token.getValue();
        options.address = Endpoint::parse(address.getValue()).value();
        options.entries = absl::StrSplit(entries.getValue(), ',');
        options.capacity = wire::Resources(processors.getValue(), memory.getValue(), accelerators.getValue());
        options.logPath = logPath.getValue();
        options.fault = testing::faultFromName(fault.getValue());
        if (drainAfter.getValue() >= 0) {
            options.drainAfter = absl::Milliseconds(drainAfter.getValue());
        }
        const testing::StandinWorker worker(options);
        int received = 0;
        sigwait(&signals, &received);
    } catch (const std::exception &error) {
        std::cerr << "standin_worker: " << error.what() << "\n";
        return 2;
    }
    return 0;
}
