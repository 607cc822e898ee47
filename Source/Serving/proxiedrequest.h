#pragma once

#include "Core/eventsplitter.h"
#include "Http/serverconnection.h"
#include "Serving/engineassignment.h"
#include "Serving/requestadmission.h"

#include <boost/asio/steady_timer.hpp>

#include <exception>
#include <vector>

namespace sesame {

/*!
    Processes one request of a caller: admits it, chooses an engine, forwards the request, relays
    the response, sends the request again where that is allowed, and sends the final response.

    Pending callbacks keep the object alive until the request has finished.
*/
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest>
{
public:
    ProxiedRequest(ServingState &state, std::shared_ptr<ServerConnection> caller,
                   RequestMessage request);

    /*!
        Starts to process the request.
    */
    void start();

    /*!
        Ends the request because the node stops before its engine has answered.
    */
    void endForShutdown();

private:
    //! Outcome of sending the request to one engine, unless a complete response was relayed.
    enum class SendOutcome {
        NotExecuted, //!< The engine has not executed the request and never will.
        Failed, //!< The engine responded with an error; the request has been executed.
        Unknown //!< There is no usable response; the request may have been executed.
    };

    const ServingRoute &route() const { return *m_admitted.route; }
    const ClientAccount *account() const { return m_admitted.account; }
    /*!
        Runs \a step, which processes bytes from outside. An error that it throws ends this request,
        not the process.
    */
    template <typename Step>
    void contain(Step step)
    {
        try {
            step();
        } catch (const std::exception &error) {
            endForError(error.what());
        }
    }
    void endForError(std::string_view reason);
    void endUnanswered(std::string_view reason, unsigned status);
    void startDeadlineTimer();
    bool isResumableStream() const;
    const std::string &streamId() const;
    const std::string &selectService() const;
    void resolveStreamVersion();
    bool assignOtherVersion();
    bool mayUseVersionOf(const EngineState &engine) const;
    void sendToEngine();
    bool assignEngine();
    bool resumeFromQueue();
    bool waitForEngine();
    void refuseWaiting(std::string_view reason, Milliseconds retryAfter);
    void refuseFull();
    WaitingDemand waitingDemand() const;
    Milliseconds retryAfterFull();
    void refuseSend(std::string_view reason, Milliseconds retryAfter);
    void onConnectionResult(const boost::system::error_code &ec);
    void sendRequest();
    void logSend(Milliseconds remainingTime) const;
    ResponseSink makeResponseSink();
    ResponseSink::Verdict onResponseHead(const ResponseHead &head);
    void onResponseBody(std::string_view piece);
    void abandonEngine(std::string_view reason);
    void onResponseComplete();
    void onExchangeFailed(ExchangeFailure failure);
    bool isStreamTruncated() const;
    void onStreamTruncated();
    void logExchangeFailure(std::string_view reason) const;
    void checkForCrash();
    void relayEvents(const std::string &events);
    void recordFirstEvent();
    void beginStreamRelay();
    void relayBufferedResponse();
    static std::string_view sendOutcomeName(SendOutcome outcome);
    void handleUnsuccessfulSend(SendOutcome outcome);
    void resendOrFinish(SendOutcome outcome);
    bool canResend(SendOutcome outcome);
    void recordVersionSend();
    void recordVersionOutcome(SendEvidence outcome);
    void countUsageOnce();
    void recordAnswerOnce();
    void releaseEngine(bool keepConnection);
    void onCallerDisconnected();
    void onDeadlineExpired();
    void onStallTimeout();
    void restartStallTimer();
    void sendLocalResponse(const LocalResponse &response);
    void abortStream(std::string_view reason);
    void finish(std::string_view outcome, unsigned status);
    Milliseconds remainingTime() const;
    int requestPriority() const;

    ServingState &m_state;
    std::shared_ptr<ServerConnection> m_caller;
    RequestMessage m_request;
    RequestInfo m_requestInfo;
    std::shared_ptr<const ServingConfig> m_config;
    AdmittedRequest m_admitted;
    EngineAssignment m_assignment;
    Timestamp m_arrivalTime;
    Timestamp m_deadline; //!< End of the caller's deadline or of the route's timeout, if earlier.
    asio::steady_timer m_deadlineTimer;
    asio::steady_timer m_stallTimer;

    // State of the current send to an engine.
    Timestamp m_sendStartTime;
    std::int64_t m_sentMillis = 0; //!< Common time of the nodes at m_sendStartTime.
    Timestamp m_firstEventTime {}; //!< Zero until the first event of a stream.
    ResponseInfo m_responseInfo;
    ResponseHead m_responseHead;
    unsigned m_responseStatus = 0;
    std::string m_responseBody;

    int m_sendCount = 0; //!< Number of times that the request was sent to an engine.
    int m_connectFailureCount = 0;
    std::string m_engineVersion; //!< Software version of the engine of the current send.
    //! Version whose events the caller has received, or may receive next. What two versions write
    //! does not fit together.
    std::optional<std::string> m_streamVersion;
    bool m_isVersionTentative = false; //!< The caller has no event of the stream yet.
    bool m_isVersionChosen = false; //!< m_prefersRolloutTarget has been decided.
    bool m_prefersRolloutTarget = false; //!< Chosen for the target of the service's roll-out.
    bool m_needsVersionOutcome = false; //!< The current send is no evidence of its version yet.
    bool m_mayHaveRun = false; //!< An engine may have executed the request.
    bool m_mayHaveRunEarlier = false; //!< Value of m_mayHaveRun before the current send.
    bool m_isUsageCounted = false; //!< The request is counted in the account's usage.
    //! The engine answered beyond the beginning, so that the prompt did not crash it.
    bool m_isAnswerRecorded = false;
    bool m_isStreamStarted = false; //!< The response head has been sent for a streamed response.
    bool m_isFinished = false;
    std::uint64_t m_waitingId = 0; //!< Id in the queue of waiting requests; 0 if it does not wait.
    EventSplitter m_eventSplitter;
};

} // namespace sesame
