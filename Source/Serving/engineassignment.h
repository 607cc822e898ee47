#pragma once

#include "Serving/enginegate.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    What a request needs of an engine.
*/
struct EngineDemand
{
    const std::string &service;
    const ServiceSpec *spec = nullptr; //!< Null if the configuration does not contain the service.
    const RequestSize &work;
    int priority = 0; //!< 0 is the most urgent.
    bool isRepeatable = false; //!< The request may run more than once.
    bool prefersRolloutTarget = false; //!< The request was chosen for the target of a roll-out.
    bool isResumable
            = false; //!< The caller may take the answer up, a stream, with another request.
    const std::string *version = nullptr; //!< Software version that is required; null for any.
};

/*!
    Reason why no engine was assigned, and when the caller should return.
*/
struct EngineRefusal
{
    std::string_view reason; //!< Refers to a string literal.
    Milliseconds retryAfter {0};
    bool isFull = false; //!< There are engines, but none has room.
};

/*!
    Predicted and observed time from sending a request to its first event.
*/
struct FirstEventTimes
{
    double predictedMs = 0.0;
    double observedMs = 0.0;
};

/*!
    The engine to which a request is assigned, with the load that it causes there and a connection.
    Chooses another engine for each assignment of the same request.
*/
class EngineAssignment
{
public:
    using Connection = EngineConnectionPool::Connection;
    using Completion = std::function<void(const boost::system::error_code &)>;

    //! Inputs to the choice of the engine, for the log.
    struct ChoiceInputs
    {
        int requests = 0; //!< Requests of all nodes at the engine when it was chosen.
        std::int64_t tokens = 0; //!< Tokens of these requests.
        double costMs = 0.0; //!< Cost of the choice in milliseconds.
        double predictedMs = 0.0; //!< Predicted time to the first event; 0 without a cost model.
    };

    /*!
        Creates an assignment for the attempt \a request of a caller.
    */
    EngineAssignment(ServingState &state, std::string request)
        : m_state(state), m_request(std::move(request))
    {
    }

    /*!
        Chooses an engine for \a demand and requests a connection to it. Calls \a completion with
       the result, unless the assignment is released before; it must keep this object alive. Returns
       a refusal, without calling \a completion, if there is no engine.
    */
    std::optional<EngineRefusal> assign(const EngineDemand &demand, const Completion &completion);

    /*!
        Records that the request, of the size \a work, was sent on the connection.
    */
    void recordSent(const RequestSize &work);

    /*!
        Records the first event of a stream, or the beginning of another successful response, and
        returns its times. Returns std::nullopt if it was recorded before or nothing is learned.
    */
    std::optional<FirstEventTimes> recordFirstEvent();

    /*!
        Ends the assignment. Closes the connection unless \a keepConnection is set.
    */
    void release(bool keepConnection);

    //! Returns the id of the engine; empty while there is none.
    const std::string &engineId() const { return m_engineId; }
    //! Returns the connection; null until it is established.
    const Connection &connection() const { return m_connection; }
    const ChoiceInputs &inputs() const { return m_inputs; }
    //! Returns the engine that was assigned last, or an empty text.
    std::string_view lastEngine() const
    {
        return m_tried.empty() ? std::string_view() : std::string_view(m_tried.back());
    }

    /*!
        Returns a random time in which a caller should return if nothing is known about when an
        engine has room.
    */
    static Milliseconds randomRetryAfter(ServingState &state);

private:
    bool reserve(const EngineChoice &choice, const EngineDemand &demand,
                 const Completion &completion);
    //! Returns a number that tells this assignment's sends from those of others.
    std::uint64_t sendId() const { return reinterpret_cast<std::uintptr_t>(this); }
    double msSinceSent(Timestamp now) const;
    EngineState *endWaiting();
    EngineRefusal makeRefusal(const EngineDemand &demand, bool isWithheld, bool isKnown) const;

    ServingState &m_state;
    std::string m_request;
    std::string m_engineId;
    std::string m_service; //!< Service of the engine.
    Timestamp m_assignedAt {};
    EngineLoad m_load;
    ChoiceInputs m_inputs;
    FirstEventPrediction m_prediction;
    std::optional<Timestamp> m_sentAt; //!< Set while the request has no first event.
    std::int64_t m_sentIncarnation = 0; //!< Of the engine that the request was sent to.
    Connection m_connection;
    std::vector<std::string> m_tried; //!< Engines in the order in which they were chosen.
};

} // namespace sesame
