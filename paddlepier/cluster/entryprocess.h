// Process on an entry machine: forwards callers' requests to the leader, and calls the policy service on the leader's
// behalf.
//
// It has no disk and stores no configuration: the leader resolves queues, so that every entry instance follows the
// newest one.
//
// Thread safety: as MemberProcess.

#ifndef PADDLEPIER_CLUSTER_ENTRYPROCESS_H
#define PADDLEPIER_CLUSTER_ENTRYPROCESS_H

#include "paddlepier/cluster/memberprocess.h"

namespace paddlepier::cluster
{

class EntryProcess : public MemberProcess
{
public:
    EntryProcess(MemberOptions memberOptions, AdvicePort advicePort);
    ~EntryProcess() override;

protected:
    void advance(Timestamp now, Timestamp processedUntil) override;
    void receiveCall(const std::string &fromInstance, const wire::CallRequestT &request) override;
    void receiveFrame(wire::PeerFrameT frame) override;
    void stopGracefully() override;

private:
    void sendPresence(Timestamp now);

    Timestamp nextPresence = absl::InfinitePast();
    bool isPresencePending = false;
};

} // namespace paddlepier::cluster

#endif
