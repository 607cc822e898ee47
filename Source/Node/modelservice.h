#pragma once

#include "Adapter/httpmessage.h"
#include "Core/backoff.h"
#include "Core/enginepools.h"
#include "Node/enginecall.h"
#include "Node/handoverservice.h"
#include "Node/nodecontext.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    Serves model requests: admission, choice of the engine, retries, resumption.
*/
class ModelService
{
public:
    ModelService(NodeContext &context, HandoverService &handovers)
        : m_context(context), m_handovers(handovers)
    {
    }

    /*!
        Serves a chat completion of \a account.
    */
    HttpResponse complete(const HttpRequest &request, const Account &account);

    /*!
        Resumes the request that the token of \a request names.
    */
    HttpResponse resume(const HttpRequest &request, const Account &account);

    /*!
        Starts waiting requests for which engines have room.
    */
    void dispatchWaiting();

    /*!
        Moves the running requests away from engine \a id, which is leaving.
    */
    void leaveEngine(std::string_view id);

    /*!
        Hands all open requests over to peers, because the instance is being reclaimed.
    */
    void handOverAll();

    /*!
        Records that \a engine died without notice; its running requests become suspects.
        Later calls for the same incarnation have no effect.
    */
    void recordEngineCrash(const BackendView &engine);

private:
    struct PreparedRequest
    {
        ModelStreamPtr stream;
        WorkItem item;
    };

    std::optional<PreparedRequest> prepare(const HttpRequest &request, const Account &account);
    std::optional<Rank> chooseRank(const HttpRequest &request, const Account &account,
                                   const Model &model) const;
    bool submit(const PreparedRequest &prepared, RequestResult *refusal);
    void dispatchPool(const FleetConfig &config, const EnginePool &pool);
    std::vector<BackendView> enginesOf(const FleetConfig &config, const EnginePool &pool);
    PoolCapacity measureCapacity(const std::vector<BackendView> &engines);
    void run(const ModelStreamPtr &stream);
    //! State of the attempts of one request.
    struct ServeState
    {
        Backoff backoff;
        std::set<std::string> excluded; //!< Engines that did not take the request.
        bool moving = false; //!< The last attempt is to be moved off its engine.
    };

    RequestResult serve(const ModelStreamPtr &stream);
    std::optional<RequestResult> serveOnce(const ModelStreamPtr &stream, ServeState &state);
    std::optional<RequestResult> handOver(ModelStream &stream);
    bool shouldTransfer(ModelStream &stream, const BackendView &target);
    std::optional<BackendView> chooseEngine(ModelStream &stream,
                                            const std::set<std::string> &excluded);
    void excludeTakenEngines(const ModelStream &stream, const std::vector<BackendView> &engines,
                             std::vector<std::string> &excluded);
    bool mayRunOn(const ModelStream &stream, const BackendView &engine);
    AttemptResult runAttempt(ModelStream &stream, const BackendView &engine, bool moving);
    void checkLostEngine(const BackendView &engine);
    RequestResult endDetached(ModelStream &stream);
    void pauseBeforeRetry(Backoff &backoff);
    void finish(const ModelStreamPtr &stream, const RequestResult &result);
    void recordService(ModelStream &stream, const RequestResult &result);
    ModelStreamPtr makeResumedStream(const ResumeToken &token, std::uint64_t offset);
    AttemptResult transferWithoutPrompt(ModelStream &stream);
    void reattach(const ModelStreamPtr &stream, const ResumeToken &token);
    HttpResponse respond(const ModelStreamPtr &stream);
    HttpResponse collect(const ModelStreamPtr &stream);
    std::vector<EngineView> makeEngineViews(const std::vector<BackendView> &engines) const;

    NodeContext &m_context;
    HandoverService &m_handovers;
    std::mutex m_runningMutex;
    std::map<std::string, std::multiset<std::uint64_t>> m_running; //!< Fingerprints by incarnation.
    std::set<std::string> m_crashed; //!< Incarnations already recorded as crashed.
};

} // namespace sesame
