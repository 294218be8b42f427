// Text tables of the command line.
//
// Thread safety: free functions without state.

#ifndef PADDLEPIER_CLI_TABLES_H
#define PADDLEPIER_CLI_TABLES_H

#include "paddlepier/wire/api_generated.h"

#include <ostream>
#include <string>
#include <vector>

namespace paddlepier::cli
{

/** Rows of equal length, the first one being the heading; columns are as wide as their widest cell. */
void printTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows);

void printStatus(std::ostream &out, const wire::StatusReplyT &reply);
void printJobs(std::ostream &out, const wire::ListReplyT &reply);
void printConfiguration(std::ostream &out, const wire::ConfigurationStatusReplyT &reply);
void printExplanation(std::ostream &out, const wire::ExplainReplyT &reply);

} // namespace paddlepier::cli

#endif
