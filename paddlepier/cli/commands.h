// Subcommands of the `paddlepier` program.
//
// Each subcommand parses its arguments with TCLAP, executes and returns the exit status. Failures are thrown as Error;
// runCommand() prints them as a single line and maps them to the exit status:
//
//     0  success
//     1  the instance refused the call
//     2  invalid arguments, settings or job file
//     3  no answer, or the data centre has no reachable leader
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

/** A subcommand; run() receives the words after the program's name, starting with the subcommand's. */
struct Command {
    const char *name;
    const char *summary;
    ExitStatus (*run)(const std::vector<std::string> &);
};

/**
 * Runs the subcommand named in @p arguments.
 *
 * @param arguments the program's name, the subcommand and its arguments
 * @param extraCommands subcommands in addition to those of this library
 */
ExitStatus runCommand(const std::vector<std::string> &arguments, const std::vector<Command> &extraCommands = {});

} // namespace paddlepier::cli

#endif
