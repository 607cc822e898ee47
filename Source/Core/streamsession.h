#pragma once

#include "Core/nodesettings.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sesame {

/*!
    The engine that executes an attempt.
*/
struct AttemptEngine
{
    std::string id;
    std::uint64_t incarnation = 0;
    Endpoint address;
};

/*!
    Identifies one attempt to serve a request. The code that reads an engine's stream stores the
    attempt with which the stream was started and passes it along with every event.
*/
struct StreamAttempt
{
    std::string requestId;
    std::string account;
    std::uint64_t number = 0;
};

/*!
    Start of a session, either at the beginning of the answer or at the offset that another node
    has reached.
*/
struct StreamStart
{
    std::string requestId;
    std::string account;
    std::uint64_t lastAttempt = 0; //!< Number of the newest attempt, or 0 if there is none.
    std::uint64_t offset = 0; //!< Number of tokens that the caller has received.
    std::string text; //!< Text of these tokens; empty if unknown, see StreamSession::hasText().
};

/*!
    Whether a token event is delivered to the caller, or why it is dropped.
*/
enum class StreamVerdict {
    Delivered,
    OtherRequest, //!< Dropped because the event belongs to another request or account.
    OldAttempt, //!< Dropped because its attempt has ended or been replaced.
    Duplicate, //!< Dropped because the offset was delivered before.
    Gap //!< Dropped because earlier tokens are missing; the attempt ends.
};

/*!
    Decides which token events of a request are delivered to its caller. Across all attempts each
    offset is delivered exactly once and in order.
*/
class StreamSession
{
public:
    explicit StreamSession(StreamStart start);

    /*!
        Starts a new attempt on \a engine. Events of all earlier attempts are dropped from then on.
        The number of the attempt is at least \a minNumber. Nodes pass the wall clock in
        milliseconds, because two nodes that continue from the same resume token would otherwise
        assign the same next number.
    */
    StreamAttempt beginAttempt(AttemptEngine engine, std::uint64_t minNumber = 0);

    /*!
        Continues attempt \a number, which another connection or node started on \a engine. Events
        of earlier attempts are dropped. \a number must not be lower than attempt().
    */
    StreamAttempt continueAttempt(AttemptEngine engine, std::uint64_t number);

    /*!
        Ends the current attempt. Events are dropped until the next attempt begins.
    */
    void endAttempt();

    /*!
        Decides whether to deliver \a token, which the attempt \a source sent with offset
        \a offset. A token may be sent to the caller only if the result is
        StreamVerdict::Delivered.
    */
    StreamVerdict accept(const StreamAttempt &source, std::uint64_t offset, std::string_view token);

    const std::string &requestId() const { return m_requestId; }
    const std::string &account() const { return m_account; }
    const AttemptEngine &engine() const { return m_engine; }
    std::uint64_t attempt() const { return m_attempt; }
    std::uint64_t nextOffset() const { return m_nextOffset; }

    /*!
        Returns whether a new attempt must be started because none has begun, the current one has
        ended, or its tokens had a gap.
    */
    bool needsAttempt() const { return m_needsAttempt; }

    /*!
        Returns whether deliveredText() is the text of all delivered tokens. A session that was
        resumed with a resume token has only the offset; its request can be re-attached to the
        engine's stream, but not recomputed.
    */
    bool hasText() const { return m_hasText; }

    /*!
        Returns the delivered text. If the request is recomputed, the engine continues this text.
    */
    const std::string &deliveredText() const { return m_text; }

private:
    void recordDelivery(const StreamAttempt &source, std::uint64_t offset, std::string_view token);

    std::string m_requestId;
    std::string m_account;
    AttemptEngine m_engine;
    std::uint64_t m_attempt = 0;
    std::uint64_t m_nextOffset = 0;
    std::uint64_t m_deliveredEnd = 0; //!< Counted at delivery, independently of the offset check.
    std::string m_text;
    bool m_hasText = true;
    bool m_needsAttempt = true;
};

} // namespace sesame
