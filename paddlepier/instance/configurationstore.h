// The deployment configuration that is in force in one entry instance.
//
// The instance receives versions from the deployment's ledger, and from peers in case it can't reach the ledger's leader.
// Only versions accepted by the ledger are distributed. A version takes effect only if it is greater than the current one,
// so reordered messages can't revert a change. An instance with a disk stores each version before it takes effect, and
// starts with the stored version.
//
// Example:
//     store.offer(configuration);           // from the ledger or a peer
//     store.current().version;
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

/** Safety checks. Only tests disable them, to prove that they detect the resulting fault. */
struct ConfigurationGuards {
    /** Rejects versions older than the current one. */
    bool onlyForward = true;
};

class ConfigurationStore
{
public:
    using Changed = std::function<void(const DeploymentConfiguration &)>;

    /**
     * @param dataFolder folder that stores the version in force; empty for an instance without a disk
     * @param changed called with every version that takes effect, including the stored one at start
     * @throws CorruptLogError if the stored version is damaged
     */
    ConfigurationStore(const std::string &dataFolder, Changed changed, ConfigurationGuards safetyGuards = {});

    /** Applies @p configuration if it is newer than the current version. @return true if it was applied */
    bool offer(const wire::ConfigurationT &configuration);

    const wire::ConfigurationT &current() const;

private:
    void load();
    void save(const wire::ConfigurationT &configuration) const;

    const std::string path;
    const Changed onChanged;
    const ConfigurationGuards guards;
    // Invariant: the version never decreases.
    wire::ConfigurationT currentConfiguration;
};

} // namespace paddlepier::instance

#endif
