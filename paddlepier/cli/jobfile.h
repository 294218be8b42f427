// Job files: the declaration of a job in TOML, to be kept under version control.
//
// Example:
//     [job]
//     name = "profile-rebuild"
//     kind = "batch"
//     tasks = 4
//     milliProcessors = 2000
//     memoryMegabytes = 2048
//
// An invalid job file is reported by an InvalidSettingsError of the form `FILE:LINE: KEY: problem`.
// Thread safety: stateless free functions.

#ifndef PADDLEPIER_CLI_JOBFILE_H
#define PADDLEPIER_CLI_JOBFILE_H

#include "paddlepier/wire/api_generated.h"

#include <string>
#include <string_view>

namespace paddlepier::cli
{

/** @throws InvalidSettingsError for the first error found */
wire::JobSpecT loadJobFile(const std::string &path);

/** As loadJobFile(), for a text; @p name stands for the file in errors. */
wire::JobSpecT parseJobFile(std::string_view text, const std::string &name);

} // namespace paddlepier::cli

#endif
