// Command line parser of one subcommand of the `paddlepier` program.
//
// Example:
//     CommandLine line("Checks a settings file.", "paddlepier config check instance.toml");
//     TCLAP::UnlabeledValueArg<std::string> file("file", "settings file", true, "", "file", line.arguments());
//     line.parse(words);
//
// Thread safety: none.

#ifndef PADDLEPIER_CLI_COMMANDLINE_H
#define PADDLEPIER_CLI_COMMANDLINE_H

#include <absl/strings/str_cat.h>
#include <tclap/CmdLine.h>

#include <string>
#include <vector>

namespace paddlepier::cli
{

inline constexpr const char *programVersion = "0.1.0";

/** The arguments of one subcommand. Its help text includes an example. */
class CommandLine
{
public:
    explicit CommandLine(const std::string &description, const std::string &example)
        : parser(absl::StrCat(description, "\n\nExample: ", example), ' ', programVersion)
    {
        this->parser.setExceptionHandling(false);
    }

    TCLAP::CmdLine &arguments()
    {
        return this->parser;
    }

    /** Parses the words from the subcommand's name on. @throws TCLAP::ArgException if they are invalid */
    void parse(std::vector<std::string> words)
    {
        words[0] = absl::StrCat("paddlepier ", words[0]);
        this->parser.parse(words);
    }

private:
    TCLAP::CmdLine parser;
};

} // namespace paddlepier::cli

#endif
