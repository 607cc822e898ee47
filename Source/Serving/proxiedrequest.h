#pragma once

#include "Core/eventsplitter.h"
#include "Http/serverconnection.h"
#include "Serving/requestadmission.h"

#include <boost/asio/steady_timer.hpp>

#include <vector>

namespace sesame {

/*!
    The life of one request of a caller: route and account, quota, choice of an engine, sending,
    relaying the answer, sending again where that is allowed, and the final answer.
*/
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest>
{
public:
    ProxiedRequest(ServingState &state, std::shared_ptr<ServerConnection> caller,
                   RequestMessage request);

    void start();

private:
    //! What became of a request at one engine.
    enum class SendOutcome {
        NotExecuted, //!< The engine did not run it and never will.
        Failed, //!< The engine answered with a failure; the request has run.
        Unknown //!< No usable answer; the request may have run.
    };

    const ServingRoute &route() const { return *m_admitted.route; }
    const ClientAccount *account() const { return m_admitted.account; }
    void startDeadlineTimer();
    const std::string &selectService();
    void sendToEngine();
    bool reserveEngine(const EngineChoice &choice, const ServiceSpec &service);
    void onConnectionResult(const boost::system::error_code &ec,
                            const EngineConnectionPool::Connection &connection);
    void sendRequest();
    void logSend(Milliseconds remainingTime) const;
    AnswerSink makeResponseSink();
    AnswerSink::Verdict onResponseHead(const ResponseHead &head);
    void onResponseBody(std::string_view piece);
    void onResponseComplete();
    void onExchangeFailed(ExchangeFailure failure);
    void relayEvents(const std::string &events);
    void beginStreamRelay();
    void relayBufferedResponse();
    static std::string_view sendOutcomeName(SendOutcome outcome);
    void handleUnsuccessfulSend(SendOutcome outcome);
    void resendOrFinish(SendOutcome outcome);
    bool canResend(SendOutcome outcome);
    void countUsageOnce();
    void checkForCrash();
    void releaseEngine(bool keepConnection);
    void onCallerDisconnected();
    void onDeadlineExpired();
    void onStallTimeout();
    void restartStallTimer();
    void sendLocalResponse(const LocalResponse &response);
    void abortStream(std::string_view reason);
    void finish(std::string_view outcome, unsigned status);
    Milliseconds remainingTime() const;
    Milliseconds randomRetryAfter();

    ServingState &m_state;
    std::shared_ptr<ServerConnection> m_caller;
    RequestMessage m_request;
    RequestInfo m_requestInfo;
    std::shared_ptr<const ServingConfig> m_config;
    AdmittedRequest m_admitted;
    Timestamp m_arrivalTime;
    Timestamp m_deadline; //!< The caller's deadline or the route's time-out.
    asio::steady_timer m_deadlineTimer;
    asio::steady_timer m_stallTimer;

    // The engine that has the request now.
    std::string m_engineId;
    EngineLoad m_engineLoad;
    //! What decided the choice of the engine, for the log.
    struct ChoiceInputs
    {
        int requests = 0;
        std::int64_t tokens = 0;
        double costMs = 0.0;
    } m_choiceInputs;
    EngineConnectionPool::Connection m_connection;
    Timestamp m_sendStartTime;
    Timestamp m_firstEventTime {}; //!< Zero until a stream has begun.
    ResponseInfo m_responseInfo;
    ResponseHead m_responseHead;
    unsigned m_responseStatus = 0;
    std::string m_responseBody;

    std::vector<std::string> m_triedEngines;
    int m_sendCount = 0;
    int m_connectFailureCount = 0;
    bool m_mayHaveRun = false;
    bool m_mayHaveRunEarlier = false; //!< Without the present send.
    bool m_isUsageCounted = false; //!< Counted for the account's usage.
    bool m_isStreamStarted = false; //!< The caller has the head of a streamed answer.
    bool m_isFinished = false;
    EventSplitter m_eventSplitter;
};

} // namespace sesame
