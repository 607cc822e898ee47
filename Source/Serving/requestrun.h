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
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
    RequestRun(ServingState &state, std::shared_ptr<ServerConnection> caller,
               RequestMessage request);

    void start();

private:
    //! What became of a request at one engine.
    enum class SendResult {
        NotRun, //!< The engine did not run it and never will.
        Failed, //!< The engine answered with a failure; the request has run.
        Lost //!< No usable answer; the request may have run.
    };

    const ServingRoute &route() const { return *m_admitted.route; }
    const ClientAccount *account() const { return m_admitted.account; }
    void armTimers();
    const std::string &pickService();
    void sendToEngine();
    bool prepareEngine(const EngineChoice &choice, const ServiceSpec &service);
    void onConnection(const boost::system::error_code &ec,
                      const EngineConnections::Connection &connection);
    void sendRequest();
    void logSend(Milliseconds remaining) const;
    AnswerSink makeSink();
    AnswerSink::Verdict onHead(const ResponseHead &head);
    void onBody(std::string_view piece);
    void onDone();
    void onFailed(ExchangeFailure failure);
    void relayEvents(const std::string &events);
    void beginRelay();
    void relayWhole();
    static std::string_view sendResultName(SendResult result);
    void settleSend(SendResult result);
    void sendAgainOrFinish(SendResult result);
    bool maySendAgain(SendResult result);
    void noteBegun();
    void noteSuspectedCrash();
    void releaseEngine(bool reuse);
    void onCallerGone();
    void onExpired();
    void onStalled();
    void restartStallTimer();
    void answer(const OwnAnswer &own);
    void breakOff(std::string_view reason);
    void finish(std::string_view outcome, unsigned status);
    Milliseconds remaining() const;
    Milliseconds retryPause();

    ServingState &m_state;
    std::shared_ptr<ServerConnection> m_caller;
    RequestMessage m_request;
    RequestFacts m_facts;
    std::shared_ptr<const ServingConfig> m_config;
    AdmittedRequest m_admitted;
    Timestamp m_arrival;
    Timestamp m_end; //!< The caller's deadline or the route's time-out.
    asio::steady_timer m_endTimer;
    asio::steady_timer m_stallTimer;

    // The engine that has the request now.
    std::string m_engine;
    EngineLoad m_load;
    //! What decided the choice of the engine, for the log.
    struct ChoiceInputs
    {
        int requests = 0;
        std::int64_t tokens = 0;
        double costMs = 0.0;
    } m_choice;
    EngineConnections::Connection m_connection;
    Timestamp m_sendStart;
    Timestamp m_firstEvent {}; //!< Zero until a stream has begun.
    AnswerFacts m_answerFacts;
    ResponseHead m_answerHead;
    unsigned m_answerStatus = 0;
    std::string m_answerBody;

    std::vector<std::string> m_tried;
    int m_sends = 0;
    int m_connectFailures = 0;
    bool m_mayHaveRun = false;
    bool m_mayHaveRunBefore = false; //!< Without the present send.
    bool m_begun = false; //!< Counted for the account's usage.
    bool m_relaying = false; //!< The caller has the head of a streamed answer.
    bool m_finished = false;
    EventSplitter m_events;
};

} // namespace sesame
