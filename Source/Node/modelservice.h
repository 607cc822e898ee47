#pragma once

#include "Adapter/httpmessage.h"
#include "Core/backoff.h"
#include "Core/enginepools.h"
#include "Node/chatpreparation.h"
#include "Node/enginecall.h"
#include "Node/enginecrashdetector.h"
#include "Node/engineselector.h"
#include "Node/handoverservice.h"
#include "Node/nodecontext.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    Serves model requests: admission, engine selection, retries, resumption and handover.
*/
class ModelService
{
public:
    ModelService(NodeContext &context, HandoverService &handovers)
        : m_context(context), m_handovers(handovers), m_engineSelector(context),
          m_crashDetector(context)
    {
    }

    /*!
        Serves the chat completion \a request of \a account. Blocks until the answer is complete if
        it is not streamed.
    */
    HttpResponse completeChat(const HttpRequest &request, const Account &account);

    /*!
        Resumes the stream that the resume token in \a request identifies.
    */
    HttpResponse resume(const HttpRequest &request, const Account &account);

    /*!
        Starts queued requests while their engine pools have free capacity.
    */
    void dispatchWaiting();

    /*!
        Marks the running requests on the leaving engine \a id to be moved to other engines.
    */
    void moveRequestsOff(std::string_view id);

    /*!
        Starts the handover of all open requests to peers, because the instance is being reclaimed.
    */
    void handOverAll();

private:
    bool submit(const PreparedChat &prepared, RequestResult *refusal);
    void dispatchPool(const FleetConfig &config, const EnginePool &pool);
    void runRequest(const ModelStreamPtr &stream);

    //! State of one request between its attempts.
    struct ServeState
    {
        Backoff backoff;
        std::set<std::string> excluded; //!< Engines that did not accept the request.
        bool moving = false; //!< The next attempt continues a run on a leaving engine.
    };

    RequestResult serveRequest(const ModelStreamPtr &stream);
    std::optional<RequestResult> tryServe(const ModelStreamPtr &stream, ServeState &state);
    std::optional<RequestResult> handOver(ModelStream &stream);
    bool shouldTransfer(ModelStream &stream, const BackendView &target);
    AttemptResult runAttempt(ModelStream &stream, const BackendView &engine, bool moving);
    RequestResult finishDetached(ModelStream &stream);
    void waitBeforeRetry(Backoff &backoff);
    void finish(const ModelStreamPtr &stream, const RequestResult &result);
    void recordServiceLevel(ModelStream &stream, const RequestResult &result);
    ModelStreamPtr detachEarlierStream(const std::string &account, const std::string &requestId);
    ModelStreamPtr makeResumedStream(const ResumeToken &token, std::uint64_t offset,
                                     const ModelStreamPtr &earlier);
    AttemptResult transferWithoutPrompt(ModelStream &stream);
    void reattachToEngine(const ModelStreamPtr &stream, const ResumeToken &token);
    HttpResponse makeStreamResponse(const ModelStreamPtr &stream);
    HttpResponse makeBufferedResponse(const ModelStreamPtr &stream);

    NodeContext &m_context;
    HandoverService &m_handovers;
    EngineSelector m_engineSelector;
    EngineCrashDetector m_crashDetector;
};

} // namespace sesame
