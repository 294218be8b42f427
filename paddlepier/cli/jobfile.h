// Job files: a job's declaration in TOML, as kept in version control.
//
// Example:
//     [job]
//     name = "profile-rebuild"
//     kind = "batch"
//     tasks = 4
//     milliProcessors = 2000
//     memoryMegabytes = 2048
//
// Every mistake is one InvalidSettingsError whose text is `FILE:LINE: KEY: what is wrong`.
// Thread safety: free functions without state.

#ifndef PADDLEPIER_CLI_JOBFILE_H
#define PADDLEPIER_CLI_JOBFILE_H

#include "paddlepier/wire/api_generated.h"

#include <string>
#include <string_view>

namespace paddlepier::cli
{

/** @throws InvalidSettingsError for the first mistake found */
wire::JobSpecT loadJobFile(const std::string &path);

wire::JobSpecT parseJobFile(std::string_view text, const std::string &name);

} // namespace paddlepier::cli

#endif
