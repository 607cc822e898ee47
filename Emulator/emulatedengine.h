#pragma once

#include "Http/listener.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sesame {

/*!
    Emulates a backend server of the platform. Answers plain requests with one body and streaming
    requests with numbered events, and counts the requests that it executes.
*/
class EmulatedEngine
{
public:
    enum class Fault {
        None,
        NoCapacity, //!< Refuses the request and reports that it was not executed.
        ResetBeforeAnswer, //!< Executes the request and resets the connection.
        BrokenStream, //!< Ends a stream in the middle of its third event.
        NoAnswer, //!< Executes the request and never answers.
        EndsInsideEvent, //!< Ends a stream inside its third event as if it were complete.
        Error, //!< Executes the request and answers with status 500.
        PlainAnswer, //!< Executes the request and answers a stream with a body that has no events.
        //! Executes the request and writes a refusal that does not say which request it is for.
        UnidentifiedRefusal,
        Unsigned, //!< Answers without the response signature.
        Encoded, //!< Declares a content encoding of the body.
        EndlessBody, //!< Sends bytes that are no events until the connection is closed.
        Trickle //!< Sends a byte now and then, but no event.
    };

    EmulatedEngine(asio::io_context &context, std::string id, const Tcp::endpoint &address);

    /*!
        Makes the engine crash when it begins to answer a streaming request whose prompt contains
        the part \a part, in hexadecimal: it closes all connections and is back after \a downtime.
    */
    void setDeadlyPart(const std::string &part, std::chrono::milliseconds downtime);
    int crashCount() const { return m_crashCount; }

    /*!
        Injects \a fault into the next \a requests requests. Later requests have no fault.
    */
    void setFault(Fault fault, int requests);
    void setEventCount(int events) { m_eventCount = events; }
    //! Sets the time that the engine takes for each plain request.
    void setWorkTime(std::chrono::milliseconds time) { m_workTime = time; }
    void setEventInterval(std::chrono::milliseconds pause) { m_eventInterval = pause; }

    //! How an engine of a bad version answers.
    struct BadVersion
    {
        double failureShare = 0.0; //!< Share of the requests that are answered with status 500.
        std::chrono::milliseconds extraTime {0}; //!< Additional time to the answer.
        int afterRequests = 0; //!< Requests that are answered well before.
        int minRunning = 0; //!< Requests in progress from which on answers are bad.
        std::string pathPrefix; //!< Requests to other paths are answered well.
    };
    void setBadVersion(const BadVersion &badness) { m_badVersion = badness; }

    /*!
        Returns the number of requests that were answered badly.
    */
    int badAnswerCount() const { return m_badAnswerCount; }

    /*!
        Returns the number of requests in progress.
    */
    int runningCount() const;

    /*!
        Closes the engine and all its connections for good.
    */
    void stop();

    /*!
        Ends the process of the engine with all its connections, and starts another one.
    */
    void restart()
    {
        stop();
        open();
    }

    /*!
        Returns the time of the last request.
    */
    std::chrono::steady_clock::time_point lastArrival() const { return m_lastArrival; }

    /*!
        Adds to all answers from now on that the engine is leaving.
    */
    void setLeaving(bool isLeaving);

    /*!
        Turns requests away from now on and for \a time, with the header value \a retryAfter, or
        without that header if it is empty. \a claimsNotExecuted says whether the answers state that
        the request has not run.
    */
    void pushBack(std::chrono::milliseconds time, const std::string &retryAfter,
                  bool claimsNotExecuted = true);

    /*!
        Returns the number of requests, also those turned away, that arrived after setLeaving().
    */
    int arrivalsSinceLeaving() const { return m_arrivalsSinceLeaving; }

    /*!
        Returns the number of requests that arrived between half a second after an answer that
        turned one away and the end of pushBack()'s time.
    */
    int arrivalsDuringPushBack() const { return m_arrivalsDuringPushBack; }

    const std::string &id() const { return m_id; }
    int runCount(const std::string &attempt) const;
    int totalRunCount() const { return m_totalRunCount; }
    int cancelledCount() const { return m_cancelledCount; }

    /*!
        Returns the header fields of the last request.
    */
    const HttpFields &lastRequestFields() const { return m_lastRequestFields; }

private:
    using Clock = std::chrono::steady_clock;
    using ConnectionPtr = std::shared_ptr<ServerConnection>;

    void open();
    bool isBadAnswer(const RequestMessage &request);
    void crash();
    void crashLater();
    bool isDeadly(const RequestMessage &request) const;
    bool turnAway(const ConnectionPtr &connection, HttpFields &fields);
    bool applyFault(const ConnectionPtr &connection, Fault fault, HttpFields &fields);
    void serve(const ConnectionPtr &connection, RequestMessage &&request);
    void sendPlainAnswer(const ConnectionPtr &connection, unsigned status,
                         std::chrono::milliseconds extraTime, const HttpFields &fields,
                         std::string body);
    void sendEvents(const ConnectionPtr &connection, const std::string &attempt, int next,
                    Fault fault);
    void sendEndless(const ConnectionPtr &connection);
    void sendTrickle(const ConnectionPtr &connection);
    HttpFields answerFields(const std::string &attempt) const;

    asio::io_context &m_context;
    std::string m_id;
    Tcp::endpoint m_address;
    std::unique_ptr<Listener> m_listener; //!< Null while the engine is down.
    std::vector<std::weak_ptr<ServerConnection>>
            m_connections; //!< Those with a request since the start.
    std::string m_deadlyPart; //!< Empty if no request makes the engine crash.
    std::chrono::milliseconds m_downtime {0};
    std::chrono::milliseconds m_timeToAnswer {20};
    int m_crashCount = 0;
    bool m_isLeaving = false;
    int m_arrivalsSinceLeaving = 0;
    std::string m_retryAfter;
    bool m_claimsNotExecuted = true;
    Clock::time_point m_pushBackEnd {};
    Clock::time_point m_turnedAwayAt {}; //!< Time of the first answer of the current push-back.
    int m_arrivalsDuringPushBack = 0;
    BadVersion m_badVersion;
    int m_badAnswerCount = 0;
    Clock::time_point m_lastArrival {};
    double m_failureSum = 0.0; //!< A request fails when it reaches 1.
    int m_runningCount = 0; //!< Plain requests and streams that are being answered.
    Fault m_fault = Fault::None;
    int m_faultyRequests = 0;
    int m_eventCount = 5;
    std::chrono::milliseconds m_workTime {0};
    std::chrono::milliseconds m_eventInterval {5};
    std::chrono::milliseconds m_trickleInterval {50};
    std::map<std::string, int> m_runCounts;
    int m_totalRunCount = 0;
    int m_cancelledCount = 0;
    HttpFields m_lastRequestFields;
    std::vector<ConnectionPtr> m_unanswered;
};

} // namespace sesame
