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
    Updates the backend table from the cloud API and from the load reports of the engines.
*/
class BackendMonitor
{
public:
    /*!
        Creates a monitor that calls \a onReclaim when a reclaim notice concerns the instance of
        this node or its whole zone.
    */
    BackendMonitor(NodeContext &context, ModelService &models, PeerExchange &peers,
                   std::function<void()> onReclaim);

    /*!
        Reads the reclaim notices of the cloud API, and its list of instances at every fourth
        call.
    */
    void pollCloud();

    /*!
        Queries the load and the cache events of all engines asynchronously on the control
        workers.
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
    std::map<std::string, std::int64_t> m_cacheEventSequences; //!< Last event read of each engine.
    std::map<std::string, bool>
            m_pollsInProgress; //!< The key is the engine id; true during a query.
};

} // namespace sesame
