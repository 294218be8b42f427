// Entry point of the tests; PADDLEPIER_TEST_LOG=1 shows what the code under test logs.

#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "paddlepier/base/log.h"

#include <cstdlib>

int main(int count, char **words)
{
    const bool isLogged = std::getenv("PADDLEPIER_TEST_LOG") != nullptr;
    paddlepier::log::initialize(isLogged ? paddlepier::log::Level::Debug : paddlepier::log::Level::Error);
    return Catch::Session().run(count, words);
}
