// Subcommands of the `paddlepier` program.
//
// Each subcommand reads its arguments with TCLAP, does its work and gives the exit status. Everything that goes wrong is
// an Error; runCommand() prints it as one line and turns it into the status:
//
//     0  done
//     1  the instance refused the call
//     2  wrong arguments, settings or job file
//     3  no answer, or the data centre has no leader that can be reached
//     5  the data folder can't be read or written
//
// Thread safety: none; called once by main().

#ifndef PADDLEPIER_CLI_COMMANDS_H
#define PADDLEPIER_CLI_COMMANDS_H

#include <string>
#include <vector>

namespace paddlepier::cli
{

enum class ExitStatus { Done = 0, Refused = 1, Usage = 2, Unreachable = 3, Storage = 5 };

/** A subcommand; run() gets the words after the program's name. */
struct Command {
    const char *name;
    const char *summary;
    ExitStatus (*run)(const std::vector<std::string> &);
};

/**
 * @param arguments the program's name, the subcommand and its arguments
 * @param others subcommands that this library doesn't bring itself
 */
ExitStatus runCommand(const std::vector<std::string> &arguments, const std::vector<Command> &others = {});

} // namespace paddlepier::cli

#endif
