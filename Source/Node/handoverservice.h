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
    Hands open requests of a leaving node over to its peers, and stores the requests that peers
    handed over to this node until their callers resume them.
*/
class HandoverService
{
public:
    explicit HandoverService(NodeContext &context);

    /*!
        Selects a peer for each of \a streams and requests their workers to hand them over. Streams
        without a usable peer stay on this node.
    */
    void chooseTargets(const std::vector<ModelStreamPtr> &streams);

    /*!
        Hands \a stream over to \a peer and sends the caller the event to continue there. Returns
        the URL for callers of the peer. If the peer does not accept within 1 s, returns
        std::nullopt and sets the last reason.
    */
    std::optional<std::string> handOver(ModelStream &stream, const std::string &peer);

    /*!
        Stores the requests of \a handover for 60 s and returns their number. Returns 0 while this
        node accepts no requests.
    */
    int acceptRequests(const wire::Handover &handover);

    /*!
        Removes and returns the request that was handed over to this node, or returns std::nullopt
        if there is none.
    */
    std::optional<wire::OpenRequest> takeRequest(const std::string &account,
                                                 const std::string &requestId);

private:
    //! A request that was handed over to this node and has not been resumed yet.
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
    std::map<std::string, PendingHandover>
            m_pendingHandovers; //!< The key is made of account and request id.
};

} // namespace sesame
