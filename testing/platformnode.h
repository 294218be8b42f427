// Settings file of one core or entry instance, in the format that the platform writes.
//
// Example:
//     PlatformNode node;
//     node.host = "127.0.7.1";
//     node.role = "core";
//     node.listenAddresses["control"] = "127.0.7.1:8161";
//     std::ofstream(path) << settingsOf(node);
//
// Thread safety: plain values.

#ifndef PADDLEPIER_TESTING_PLATFORMNODE_H
#define PADDLEPIER_TESTING_PLATFORMNODE_H

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace paddlepier::testing
{

struct PlatformNode {
    std::string host;
    /** Subcommand of the program: `core` or `entry`. */
    std::string role;
    std::uint16_t internalPort = 0;
    std::vector<std::string> seeds;
    std::map<std::string, std::string> listenAddresses;
    std::string dataDirectory;
    bool isFirstStart = false;
    std::vector<std::string> contracts = {};
};

inline std::string settingsOf(const PlatformNode &node)
{
    const auto quoted = [](std::string *out, const std::string &text) { absl::StrAppend(out, "\"", text, "\""); };
    std::string text = absl::StrCat("node_name = \"", node.host, "\"\nip_address = \"", node.host, "\"\nzone = \"z\"\n");
    absl::StrAppend(&text, "internal_port_range = [", node.internalPort, ", ", node.internalPort + 1, "]\n");
    absl::StrAppend(&text, "seeds = [", absl::StrJoin(node.seeds, ", ", quoted), "]\nfirst_start = ", node.isFirstStart ? "true" : "false", "\n");
    absl::StrAppend(&text, "contracts = [", absl::StrJoin(node.contracts, ", ", quoted), "]\n");
    if (!node.dataDirectory.empty()) {
        absl::StrAppend(&text, "data_directory = \"", node.dataDirectory, "\"\n");
    }
    absl::StrAppend(&text, "[listen_addresses]\n");
    for (const auto &[name, address] : node.listenAddresses) {
        absl::StrAppend(&text, name, " = \"", address, "\"\n");
    }
    return text;
}

} // namespace paddlepier::testing

#endif
