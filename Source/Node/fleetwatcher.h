#pragma once

#include "Node/nodecontext.h"
#include "Node/peerexchange.h"

#include <cstdint>

namespace sesame {

/*!
    Keeps the fleet configuration of the node up to date: watches the store, pulls newer documents
    from peers, and applies a changed configuration to the tables of the node.
*/
class FleetWatcher
{
public:
    FleetWatcher(NodeContext &context, PeerExchange &peers) : m_context(context), m_peers(peers) { }

    /*!
        Waits for a change in the store for at most 2 s, and reads the fleet document again if it
        may have changed. Waits 500 ms after a failure.
    */
    void watchStore();

    /*!
        Pulls a newer document from a peer, applies a changed configuration and logs alarms. Must be
        called about every 200 ms.
    */
    void tick();

private:
    bool hasUnseenVersion();
    void readStore();
    void restoreStoredDocument(std::uint64_t objectVersion, std::uint64_t documentVersion);

    NodeContext &m_context;
    PeerExchange &m_peers;
    std::uint64_t m_revision = 0;
    bool m_hasReadStore = false;
    Timestamp m_lastVersionCheck; //!< Time of the last hasUnseenVersion() query to the store.
    std::uint64_t m_objectVersion = 0; //!< Version of the object that was read last.
    std::shared_ptr<const FleetConfig> m_applied;
};

} // namespace sesame
