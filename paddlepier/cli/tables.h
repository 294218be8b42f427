// Prints replies as text tables on the command line.
//
// Thread safety: stateless free functions.

#ifndef PADDLEPIER_CLI_TABLES_H
#define PADDLEPIER_CLI_TABLES_H

#include "paddlepier/wire/api_generated.h"

#include <ostream>
#include <string>
#include <vector>

namespace paddlepier::cli
{

/** Prints rows of equal length, of which the first is the heading. Each column is as wide as its widest cell. */
void printTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows);

void printStatus(std::ostream &out, const wire::StatusReplyT &reply);
void printJobs(std::ostream &out, const wire::ListReplyT &reply);
void printConfiguration(std::ostream &out, const wire::ConfigurationStatusReplyT &reply);
void printExplanation(std::ostream &out, const wire::ExplainReplyT &reply);

} // namespace paddlepier::cli

#endif
