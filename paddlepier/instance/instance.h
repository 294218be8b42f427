// One entry instance: everything that `paddlepier serve` runs.
//
// One thread, the control thread, drives all state machines of the instance: its replicas of ledgers, their leaders' work
// and the calls under way. HTTP, quick requests, peers and the disk have threads of their own and post to its mailbox.
//
// Example:
//     Instance instance(loadSettings(path));
//     instance.run();        // until requestStop(), then a planned stop
//
// Thread safety: requestStop() from any thread and from a signal handler's thread; the rest from the owner.

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
    /** Opens data folders and listens. @throws any Error that makes the instance unable to start */
    explicit Instance(Settings instanceSettings);
    ~Instance();

    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /** Serves until requestStop(); then finishes what is in flight, hands leadership over and returns. */
    void run();

    void requestStop();

private:
    /** One ledger of which this instance has a replica. */
    struct Hosted {
        std::unique_ptr<LedgerNode> node;
        std::unique_ptr<LedgerService> service;
    };

    /** Sends a frame in this instance's name. */
    void sendFrame(const std::string &instance, wire::PeerFrameT frame);
    void openLedgers(std::uint64_t seed);
    void handle(const std::shared_ptr<http::Exchange> &exchange);
    void handleCall(const std::shared_ptr<http::Exchange> &exchange, const rpc::CallInfo &call);
    std::optional<Actor> actorOf(const http::Request &request) const;
    std::string targetOf(rpc::Method method, const std::string &body) const;
    void receive(wire::PeerFrameT frame);
    void step(Duration patience);
    void tickAll(Timestamp now);
    void plannedStop();
    void configurationChanged(const DeploymentConfiguration &deployment);
    void fetchConfiguration(Timestamp now);
    void gossipConfiguration();
    void receiveOffer(const std::string &fromInstance, const wire::ConfigurationOfferT &offer);
    void offerConfiguration(const std::string &instance, bool withText);

    const Settings settings;
    Counters counters;
    Mailbox mailbox;
    SuspensionReport suspension;
    std::atomic<bool> stopRequested{false};
    /** The balancer's health check answers 503 from then on. */
    std::atomic<bool> leaving{false};
    Timestamp nextTick = absl::InfinitePast();

    std::unique_ptr<replication::DiskWriter> disk;
    std::map<std::string, Hosted> hosted;
    std::unique_ptr<CallRouter> calls;
    std::unique_ptr<peer::Transport> transport;
    std::unique_ptr<QuickService> quick;
    std::unique_ptr<http::HttpServer> server;
    std::unique_ptr<ConfigurationKeeper> configuration;
    Timestamp nextFetch = absl::InfinitePast();
    std::size_t nextGossip = 0;
};

} // namespace paddlepier::instance

#endif
