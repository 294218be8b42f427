// An entry instance: the process behind `paddlepier serve`.
//
// A single control thread drives all state machines of the instance: the ledger replicas, the leader's work on them, and
// the pending calls. HTTP, quick requests, peer connections and the disk run on their own threads and post to the control
// thread's mailbox.
//
// Example:
//     Instance instance(loadSettings(path));
//     instance.run();        // until requestStop(), then stops gracefully
//
// Thread safety: requestStop() may be called from any thread; everything else only from the owner's thread.

#ifndef PADDLEPIER_INSTANCE_INSTANCE_H
#define PADDLEPIER_INSTANCE_INSTANCE_H

#include "paddlepier/base/counters.h"
#include "paddlepier/base/mailbox.h"
#include "paddlepier/base/suspension.h"
#include "paddlepier/http/httpserver.h"
#include "paddlepier/instance/callrouter.h"
#include "paddlepier/instance/configurationstore.h"
#include "paddlepier/instance/ledgernode.h"
#include "paddlepier/instance/ledgerservice.h"
#include "paddlepier/instance/quickservice.h"
#include "paddlepier/peer/transport.h"
#include "paddlepier/replication/diskwriter.h"
#include "paddlepier/settings/settings.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace paddlepier::instance
{

class Instance
{
public:
    /** Opens the data folders and starts listening. @throws Error if the instance can't start */
    explicit Instance(Settings instanceSettings);
    ~Instance();

    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /** Serves until requestStop(), then transfers leadership, completes the requests in flight and returns. */
    void run();

    void requestStop();

private:
    /** A ledger of which this instance hosts a replica. */
    struct HostedLedger {
        std::unique_ptr<LedgerNode> node;
        std::unique_ptr<LedgerService> service;
    };

    /** Sends a frame with this instance as its source. */
    void sendFrame(const std::string &instance, wire::PeerFrameT frame);
    void openLedgers(std::uint64_t seed);
    void handle(const std::shared_ptr<http::Exchange> &exchange);
    void handleCall(const std::shared_ptr<http::Exchange> &exchange, const rpc::CallInfo &call);
    /** The owner of the request's bearer token; nothing if the token is missing or unknown. */
    std::optional<Actor> authenticate(const http::Request &request) const;
    /** The data centre whose ledger serves the call; this instance's own one by default. */
    std::string targetDataCentre(rpc::Method method, const std::string &body) const;
    void receive(wire::PeerFrameT frame);
    /** Runs the posted work, waiting up to @p maxWait for some, and everything that is due. */
    void step(Duration maxWait);
    void tickAll(Timestamp now);
    void stopGracefully();
    void applyConfiguration(const DeploymentConfiguration &deployment);
    void fetchConfiguration(Timestamp now);
    /** Sends the version in force to one peer, round-robin. */
    void gossipConfiguration();
    void receiveOffer(const std::string &fromInstance, const wire::ConfigurationOfferT &offer);
    void offerConfiguration(const std::string &instance, bool withText);

    const Settings settings;
    Counters counters;
    Mailbox mailbox;
    SuspensionReporter suspension;
    std::atomic<bool> stopRequested{false};
    /** While true, the balancer's health check is answered with 503. */
    std::atomic<bool> isLeaving{false};
    Timestamp nextTick = absl::InfinitePast();

    std::unique_ptr<replication::DiskWriter> disk;
    std::map<std::string, HostedLedger> hosted;
    std::unique_ptr<CallRouter> calls;
    std::unique_ptr<peer::Transport> transport;
    std::unique_ptr<QuickService> quick;
    std::unique_ptr<http::HttpServer> server;
    std::unique_ptr<ConfigurationStore> configuration;
    Timestamp nextFetch = absl::InfinitePast();
    std::size_t nextGossipPeer = 0;
};

} // namespace paddlepier::instance

#endif
