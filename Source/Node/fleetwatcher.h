#pragma once

#include "Node/nodecontext.h"
#include "Node/peerexchange.h"

#include <cstdint>

namespace sesame {

/*!
    Keeps the fleet configuration of the node current: watches the store, asks peers, and
    applies a new configuration to the node's tables.
*/
class FleetWatcher
{
public:
    FleetWatcher(NodeContext &context, PeerExchange &peers) : m_context(context), m_peers(peers) { }

    /*!
        Waits for a change in the store for at most some seconds and applies it.
    */
    void watchStore();

    /*!
        Asks peers for a newer document, applies a changed configuration and logs alarms.
        Called about every 200 ms.
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
    Timestamp m_lastVersionCheck; //!< Of the object's version in the store.
    std::uint64_t m_objectVersion = 0; //!< Read last.
    std::shared_ptr<const FleetConfig> m_applied;
};

} // namespace sesame
