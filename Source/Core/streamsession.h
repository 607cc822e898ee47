#pragma once

#include "Core/nodesettings.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sesame {

/*!
    The backend server that runs an attempt.
*/
struct AttemptEngine
{
    std::string id;
    std::uint64_t incarnation = 0;
    Endpoint address;
};

/*!
    Identifies one attempt to serve a request. The reader of an engine's stream keeps the
    value it was started with and passes it with every event.
*/
struct StreamAttempt
{
    std::string requestId;
    std::string account;
    std::uint64_t number = 0;
};

/*!
    Where a session starts: at the beginning, or at the offset that another node reached.
*/
struct StreamStart
{
    std::string requestId;
    std::string account;
    std::uint64_t lastAttempt = 0; //!< Number of the newest attempt so far, 0 if none.
    std::uint64_t offset = 0; //!< Tokens that the caller already has.
    std::string text; //!< Their text; empty if unknown, see StreamSession::knowsText().
};

enum class StreamVerdict {
    Delivered,
    OtherRequest, //!< Dropped: the event belongs to another request or account.
    OldAttempt, //!< Dropped: another attempt is current.
    Duplicate, //!< Dropped: the offset was delivered before.
    Gap //!< Dropped: tokens are missing, so the attempt is broken.
};

/*!
    Decides which token events of a request reach its caller. Across all attempts each
    offset is delivered once and in order.
*/
class StreamSession
{
public:
    explicit StreamSession(StreamStart start);

    /*!
        Starts a new attempt on \a engine. Events of all earlier attempts are dropped from now on.
        Its number is at least \a minNumber; nodes pass the wall clock in milliseconds, because
        two nodes that continue one token would otherwise both count on to the same number.
    */
    StreamAttempt beginAttempt(AttemptEngine engine, std::uint64_t minNumber = 0);

    /*!
        Continues attempt \a number, which another connection or node started on \a engine.
        Events of earlier attempts are dropped. \a number must not be lower than attempt().
    */
    StreamAttempt continueAttempt(AttemptEngine engine, std::uint64_t number);

    /*!
        Ends the current attempt: its events are dropped until the next one begins.
    */
    void endAttempt();

    /*!
        Decides on \a token, which \a source sent as token \a offset. Only a token with
        StreamVerdict::Delivered may be sent to the caller.
    */
    StreamVerdict accept(const StreamAttempt &source, std::uint64_t offset, std::string_view token);

    const std::string &requestId() const { return m_requestId; }
    const std::string &account() const { return m_account; }
    const AttemptEngine &engine() const { return m_engine; }
    std::uint64_t attempt() const { return m_attempt; }
    std::uint64_t nextOffset() const { return m_nextOffset; }

    /*!
        Returns true while no attempt runs: none has begun, it ended, or it had a gap.
    */
    bool needsAttempt() const { return m_needsAttempt; }

    /*!
        Returns true if resumePrefix() is the text of all delivered tokens. A session that
        resumes by token knows only the offset; its request can be re-attached, not recomputed.
    */
    bool hasText() const { return m_hasText; }

    /*!
        Returns the delivered text, which an engine must continue if the request is recomputed.
    */
    const std::string &deliveredText() const { return m_text; }

private:
    void recordDelivery(const StreamAttempt &source, std::uint64_t offset, std::string_view token);

    std::string m_requestId;
    std::string m_account;
    AttemptEngine m_engine;
    std::uint64_t m_attempt = 0;
    std::uint64_t m_nextOffset = 0;
    std::uint64_t m_deliveredEnd = 0; //!< Counted at delivery, apart from the offset check.
    std::string m_text;
    bool m_hasText = true;
    bool m_needsAttempt = true;
};

} // namespace sesame
