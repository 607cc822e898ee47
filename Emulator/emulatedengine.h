#pragma once

#include "Http/listener.h"

#include <map>
#include <set>
#include <string>

namespace sesame {

/*!
    A backend server of the platform: answers plain requests with a whole body and streaming ones
    with numbered events, and counts what it runs.
*/
class EmulatedEngine
{
public:
    enum class Fault {
        None,
        Full, //!< Refuses and says that the request did not run.
        ResetBeforeAnswer, //!< Runs the request and loses the answer.
        CutStream, //!< Breaks a stream off in the middle of its third event.
        Silent, //!< Runs the request and never answers.
        Error, //!< Runs the request and answers with 500.
        Unsigned, //!< Answers without a signature.
        Encoded //!< Answers with an encoded body.
    };

    EmulatedEngine(asio::io_context &context, std::string id, const Tcp::endpoint &address);

    /*!
        Sets the fault of the next \a requests requests; the ones after them are sound.
    */
    void setFault(Fault fault, int requests);
    void setEvents(int events) { m_events = events; }
    void setEventPause(std::chrono::milliseconds pause) { m_eventPause = pause; }

    const std::string &id() const { return m_id; }
    int runs(const std::string &attempt) const;
    int totalRuns() const { return m_totalRuns; }
    int cancelled() const { return m_cancelled; }

    /*!
        Returns the header fields of the last request.
    */
    const HttpFields &lastFields() const { return m_lastFields; }

private:
    using Call = std::shared_ptr<ServerConnection>;

    void serve(const Call &call, RequestMessage &&request);
    void stream(const Call &call, const std::string &attempt, int next, bool isCut);
    HttpFields answerFields(const std::string &attempt) const;

    asio::io_context &m_context;
    std::string m_id;
    Listener m_listener;
    Fault m_fault = Fault::None;
    int m_faultyRequests = 0;
    int m_events = 5;
    std::chrono::milliseconds m_eventPause {5};
    std::map<std::string, int> m_runs;
    int m_totalRuns = 0;
    int m_cancelled = 0;
    HttpFields m_lastFields;
    std::vector<Call> m_silenced;
};

} // namespace sesame
