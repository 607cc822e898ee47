#pragma once

#include "Adapter/peerclient.h"
#include "Core/handoverplanner.h"
#include "Node/nodecontext.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sesame {

/*!
    Passes open requests of a leaving node to its peers, and keeps those that peers passed to
    this node until their callers come.
*/
class HandoverService
{
public:
    explicit HandoverService(NodeContext &context);

    /*!
        Chooses a peer for each of \a streams and asks their workers to hand them over. Streams
        without a usable peer stay here.
    */
    void chooseTargets(const std::vector<ModelStreamPtr> &streams);

    /*!
        Passes \a stream to \a peer and tells the caller to continue there. Returns the peer's
        caller address, or std::nullopt with a last reason if the peer did not accept.
    */
    std::optional<std::string> handOver(ModelStream &stream, const std::string &peer);

    /*!
        Keeps the requests of \a handover and returns their number.
    */
    int acceptRequests(const wire::Handover &handover);

    /*!
        Returns the request that was handed over to this node, and forgets it.
    */
    std::optional<wire::OpenRequest> takeRequest(const std::string &account,
                                                 const std::string &requestId);

private:
    struct PendingHandover
    {
        wire::OpenRequest request;
        Timestamp expiry;
    };

    std::vector<HandoverPeer> listPeers();
    std::string findEngineZone(ModelStream &stream);
    wire::OpenRequest makeOpenRequest(ModelStream &stream);
    void removeExpired(Timestamp now);

    NodeContext &m_context;
    PeerClient m_client;
    std::mutex m_mutex;
    std::map<std::string, PendingHandover> m_pendingHandovers; //!< By account and request id.
};

} // namespace sesame
