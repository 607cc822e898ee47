#pragma once

#include "Adapter/cloudclient.h"
#include "Node/modelservice.h"
#include "Node/nodecontext.h"
#include "Node/peerexchange.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace sesame {

/*!
    Keeps the backend table current from the cloud API and the engines' own reports.
*/
class BackendMonitor
{
public:
    /*!
        \a onReclaim is called when a notice concerns the instance of this node.
    */
    BackendMonitor(NodeContext &context, ModelService &models, PeerExchange &peers,
                   std::function<void()> onReclaim);

    /*!
        Reads the cloud API's notices, and its list of instances every few calls.
    */
    void pollCloud();

    /*!
        Asks all engines for their load and cache events.
    */
    void pollEngines();

private:
    void applyNotices(const NoticeBatch &batch);
    void pollEngine(const BackendView &engine);
    void pollCacheEvents(const BackendView &engine);

    NodeContext &m_context;
    ModelService &m_models;
    PeerExchange &m_peers;
    std::function<void()> m_onReclaim;
    CloudClient m_cloud;
    std::int64_t m_noticeSequence = 0;
    unsigned m_cloudPollCount = 0;
    std::mutex m_pollMutex;
    std::map<std::string, std::int64_t> m_cacheEventSequences; //!< By engine id.
    std::map<std::string, bool> m_pollsInProgress; //!< Engines with a query under way.
};

} // namespace sesame
