// Entry point of the tests; PADDLEPIER_TEST_LOG=1 prints the log output of the code under test. Programs compiled with
// PADDLEPIER_OWN_NETWORK run in a network namespace of their own.

#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "paddlepier/base/log.h"
#include "testing/knownred.h"
#include "testing/networkspace.h"

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace
{

/** Excludes the tests listed in KNOWN-RED.txt, and prints their entries. */
void excludeKnownRed(Catch::Session &session)
{
    std::ifstream lines(PADDLEPIER_KNOWN_RED);
    for (const paddlepier::testing::KnownRed &red : paddlepier::testing::readKnownRed(lines)) {
        std::cout << "known red, passed over: " << red.line << std::endl;
        session.configData().testsOrTags.push_back("~" + red.test);
    }
}

} // namespace

int main(int argc, char **argv)
{
#ifdef PADDLEPIER_OWN_NETWORK
    if (const std::optional<int> status = paddlepier::testing::runInOwnNetwork(argv)) {
        return *status;
    }
#endif
    const bool isLogged = std::getenv("PADDLEPIER_TEST_LOG") != nullptr;
    paddlepier::log::initialize(isLogged ? paddlepier::log::Level::Debug : paddlepier::log::Level::Error);
    Catch::Session session;
    const int status = session.applyCommandLine(argc, argv);
    if (status != 0) {
        return status;
    }
    if (std::getenv("PADDLEPIER_RUN_KNOWN_RED") == nullptr) {
        excludeKnownRed(session);
    }
    return session.run();
}
