// The configuration that is in force in one entry instance.
//
// Versions come from the deployment's ledger, and from peers, for an instance that can't reach the ledger's leader but
// can reach another instance. Only accepted versions travel, and a version goes into force only if it is greater than
// the one in force, so that no order of messages can take a change back. An instance with a disk keeps the version there
// and starts with it; a version is written before it goes into force.
//
// Example:
//     keeper.offer(configuration);          // from the ledger or a peer
//     keeper.inForce().version;
//
// Thread safety: none; owned by the control thread.

#ifndef PADDLEPIER_INSTANCE_CONFIGURATIONSTORE_H
#define PADDLEPIER_INSTANCE_CONFIGURATIONSTORE_H

#include "paddlepier/settings/configuration.h"
#include "paddlepier/wire/api_generated.h"

#include <functional>
#include <string>

namespace paddlepier::instance
{

/** Safety checks that only a test switches off, to show that it notices. */
struct ConfigurationGuards {
    bool onlyForward = true;
};

class ConfigurationKeeper
{
public:
    using Changed = std::function<void(const DeploymentConfiguration &)>;

    /**
     * @param dataFolder where the version in force is kept; empty for an instance without a disk
     * @param changed called with every version that goes into force, also with the kept one
     * @throws CorruptLogError if the kept version is damaged
     */
    ConfigurationKeeper(const std::string &dataFolder, Changed changed, ConfigurationGuards keeperGuards = {});

    /** Puts @p configuration into force if it is newer. @return true if it was */
    bool offer(const wire::ConfigurationT &configuration);

    const wire::ConfigurationT &inForce() const;

private:
    void load();
    void save(const wire::ConfigurationT &configuration) const;

    const std::string path;
    const Changed onChanged;
    const ConfigurationGuards guards;
    // Invariant: its version never decreases.
    wire::ConfigurationT current;
};

} // namespace paddlepier::instance

#endif
