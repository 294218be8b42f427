// Test fake: a replicated state machine that counts the applied commands.
//
// Thread safety: none. Used by replicanode_test.cpp and replicagroup_test.cpp only.

#ifndef PADDLEPIER_REPLICATION_COUNTINGSTATE_H
#define PADDLEPIER_REPLICATION_COUNTINGSTATE_H

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>

#include <cstdint>
#include <string>
#include <vector>

namespace paddlepier::replication
{

class CountingState
{
public:
    struct Outcome {
        ErrorCode error = ErrorCode::None;
    };

    Outcome apply(const std::vector<std::uint8_t> &)
    {
        ++this->count;
        return {};
    }

    std::string snapshot() const
    {
        return absl::StrCat(this->count);
    }

    void restore(const std::string &text)
    {
        this->count = std::stoi(text);
    }

    bool hasHistory() const
    {
        return this->count > 0;
    }

    static Outcome failure(ErrorCode error, const std::string &)
    {
        return {error};
    }

    int count = 0;
};

} // namespace paddlepier::replication

#endif
