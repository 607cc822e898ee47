#pragma once

#include "Adapter/backendclient.h"
#include "Core/ports.h"
#include "Core/sseparser.h"
#include "caller.h"
#include "callresult.h"
#include "entrylist.h"

namespace sesame {

/*!
    One chat completion of a caller. Resumes a broken stream and checks every token.
*/
class ChatCall
{
public:
    ChatCall(const CallerOptions &options, EntryList *entries, std::string requestId,
             std::string prompt);

    CallResult run();

private:
    enum class NextStep { Done, Resume, Resend, OtherEntry };

    NextStep runAttempt();
    NextStep resume();
    NextStep send();
    NextStep sendWithoutStreaming();
    NextStep readStream(const HttpCall &call);
    NextStep evaluateReply(const BackendReply &reply);
    HttpCall makeCall() const;
    std::string makeBody() const;
    bool receiveData(std::string_view part, SseParser *parser);
    void handleEvent(const SseEvent &event);
    void handleToken(const SseEvent &event);
    void recordOutcome(std::string_view outcome, int code);
    void checkCompleteAnswer(std::string_view text);
    void recordError(std::string text);
    std::chrono::milliseconds remainingTime() const;

    const CallerOptions &m_options;
    EntryList *m_entries;
    const std::string m_requestId;
    const std::string m_prompt;
    std::uint64_t m_promptHash = 0;
    std::string m_entry;
    std::string m_namedEntry; //!< Entry address that a leaving node announced.
    std::string m_resumeToken;
    Timestamp m_begin;
    Timestamp m_lastTokenAt;
    Timestamp m_lastDataAt;
    bool m_wasSent = false; //!< At least a part of the request reached an entry node.
    bool m_resendsNext = false; //!< The last resume was refused, so the request is sent again.
    bool m_isFinished = false;
    bool m_isExecutionLost = false; //!< The node reported that the request cannot be resumed.
    CallResult m_result;
};

} // namespace sesame
