#pragma once

#include "Adapter/peerclient.h"
#include "Adapter/peerserver.h"
#include "Node/modelservice.h"
#include "Node/nodecontext.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace sesame {

/*!
    Sends and answers peer messages, and applies their contents to the tables of the node.
*/
class PeerExchange
{
public:
    PeerExchange(NodeContext &context, ModelService &models, HandoverService &handovers);

    /*!
        Sends the membership probes and rumours that are due. Must be called about every 50 ms.
    */
    void tick();

    /*!
        Applies \a request of the peer \a sender and returns the answer. A ping request blocks on
        the probe of its target.
    */
    wire::PeerAnswer handleRequest(const wire::PeerRequest &request, std::string_view sender);

    /*!
        Fetches the fleet document from the peer with the highest version, if that is newer than
        the version of this node.
    */
    void pullFleetDocument();

    /*!
        Starts the dissemination of \a rumours that originate on this node.
    */
    void announce(std::span<const Rumour> rumours);

private:
    wire::PeerRequest makeRequest(std::string_view receiver);
    void sendProbe(const MembershipMessage &action);
    void sendSuspectRumours(Timestamp now);
    void sendSuspectRumours(const Peer &peer, std::uint64_t confirmed);
    bool probePeer(std::string_view target, std::int64_t sequence);
    void applyRumours(std::span<const wire::Rumour> rumours);
    void applySuspectRumours(const std::vector<wire::SuspectRumour> &rumours);
    void applyAnswer(const PeerReply &reply);
    template <typename Message>
    void recordPeer(std::string_view peer, const Message &message);
    void recordIncarnation(std::string_view peer, std::int64_t incarnation);

    /*!
        What a peer has confirmed of this node's changes to the suspects.
    */
    struct SuspectDelivery
    {
        std::uint64_t confirmed = 0; //!< See SuspectTable::sequence().
        bool isSending = false;
        Timestamp repeatAt {};
    };

    NodeContext &m_context;
    ModelService &m_models;
    HandoverService &m_handovers;
    PeerClient m_client;
    Guarded<std::map<std::string, std::int64_t, std::less<>>>
            m_incarnations; //!< The key is the peer.
    Guarded<std::map<std::string, SuspectDelivery, std::less<>>>
            m_suspectDeliveries; //!< The key is the peer.
};

} // namespace sesame
