#pragma once

#include "Adapter/backendclient.h"
#include "Core/ports.h"
#include "Core/sseparser.h"
#include "caller.h"
#include "callresult.h"
#include "entrylist.h"

namespace sesame {

/*!
    One chat completion as a caller sees it: streams, resumes and checks every token.
*/
class ChatCall
{
public:
    ChatCall(const CallerOptions &options, EntryList *entries, std::string requestId,
             std::string prompt);

    CallResult run();

private:
    enum class Next { Done, Resume, Resend, OtherEntry };

    Next runOnce();
    Next resume();
    Next send();
    Next sendWhole();
    Next stream(const HttpCall &call);
    Next judgeReply(const BackendReply &reply);
    HttpCall makeCall() const;
    std::string makeBody() const;
    bool receive(std::string_view part, SseParser *parser);
    void takeEvent(const SseEvent &event);
    void takeToken(const SseEvent &event);
    void takeOutcome(std::string_view outcome, int code);
    void checkWhole(std::string_view text);
    void reportFault(std::string text);
    std::chrono::milliseconds timeLeft() const;

    const CallerOptions &m_options;
    EntryList *m_entries;
    const std::string m_requestId;
    const std::string m_prompt;
    std::uint64_t m_promptHash = 0;
    std::string m_entry;
    std::string m_continueAt; //!< Entry that a leaving node named.
    std::string m_resumeToken;
    Timestamp m_begin;
    Timestamp m_lastToken;
    Timestamp m_lastBytes;
    bool m_sent = false; //!< The request reached an entry, at least partly.
    bool m_resendNext = false; //!< The last resume was refused.
    bool m_finished = false;
    bool m_runLost = false; //!< The node told that the run cannot be resumed.
    CallResult m_result;
};

} // namespace sesame
