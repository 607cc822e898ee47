#include "chatcall.h"

#include "Adapter/json.h"
#include "Adapter/systemclock.h"
#include "Core/resultcode.h"
#include "enginetokens.h"

#include <algorithm>
#include <thread>

namespace sesame {

namespace {

constexpr std::chrono::milliseconds shortestPause(20);
constexpr std::chrono::milliseconds longestPause(1000);

double millisBetween(Timestamp from, Timestamp to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

JsonPtr makeMessage(const char *role, const std::string &content)
{
    return JsonPtr(json_pack("{s:s,s:s}", "role", role, "content", content.c_str()));
}

bool isWorthAnotherEntry(int code)
{
    return code == static_cast<int>(ResultCode::NodeLeaving)
            || code == static_cast<int>(ResultCode::ConfigurationUnconfirmed)
            || code == static_cast<int>(ResultCode::DuplicateRequest);
}

} // namespace

ChatCall::ChatCall(const CallerOptions &options, EntryList *entries, std::string requestId,
                   std::string prompt)
    : m_options(options), m_entries(entries), m_requestId(std::move(requestId)),
      m_prompt(std::move(prompt)), m_begin(SystemClock().now()), m_lastToken(m_begin),
      m_lastBytes(m_begin)
{
    const JsonPtr body = parseJson(makeBody());
    m_promptHash = readPrompt(body.get()).hash;
}

CallResult ChatCall::run()
{
    std::chrono::milliseconds pause = shortestPause;
    while (timeLeft().count() > 0 && m_result.fault.empty()) {
        m_entry = m_continueAt.empty() ? m_entries->choose(m_entry) : m_continueAt;
        m_continueAt.clear();
        const std::uint64_t tokens = m_result.tokens;
        const Next next = runOnce();
        if (next == Next::Done || m_finished)
            break;
        m_resendNext = next == Next::Resend;
        if (next == Next::OtherEntry)
            m_entries->expire();
        if (m_result.tokens > tokens || !m_continueAt.empty()) {
            pause = shortestPause;
            continue;
        }
        std::this_thread::sleep_for(pause);
        pause = std::min(2 * pause, longestPause);
    }
    // An accepted request without an outcome is broken, whatever a later node refused.
    if (!m_finished && !m_resumeToken.empty())
        m_result.outcome = "broken";
    return std::move(m_result);
}

ChatCall::Next ChatCall::runOnce()
{
    if (!m_resumeToken.empty() && !m_resendNext)
        return resume();
    if (m_sent)
        ++m_result.resends;
    return send();
}

ChatCall::Next ChatCall::resume()
{
    ++m_result.resumes;
    HttpCall call = makeCall();
    call.url = m_entry + "/v1/requests/" + m_requestId + "?from=" + std::to_string(m_result.tokens)
            + "&token=" + m_resumeToken;
    m_runLost = false;
    const Next next = stream(call);
    if (m_runLost)
        return Next::Resend;
    // A node that cannot re-attach says so; only the caller still has prompt and text.
    return next == Next::Done && !m_finished ? Next::Resend : next;
}

ChatCall::Next ChatCall::send()
{
    if (!m_options.stream)
        return sendWhole();
    HttpCall call = makeCall();
    call.method = "POST";
    call.url = m_entry + "/v1/chat/completions";
    call.body = makeBody();
    if (m_result.tokens > 0)
        call.headers.emplace_back("X-Resume-From", std::to_string(m_result.tokens));
    return stream(call);
}

ChatCall::Next ChatCall::sendWhole()
{
    HttpCall call = makeCall();
    call.method = "POST";
    call.url = m_entry + "/v1/chat/completions";
    call.body = makeBody();
    const BackendReply reply = callBackend(call);
    const Next next = judgeReply(reply);
    if (next != Next::Done || reply.reply.status != 200)
        return next;
    const JsonPtr body = parseJson(reply.reply.body);
    const json_t *choice = json_array_get(json_object_get(body.get(), "choices"), 0);
    m_result.firstTokenMillis = millisBetween(m_begin, SystemClock().now());
    checkWhole(jsonString(json_object_get(choice, "message"), "content"));
    takeOutcome("complete", static_cast<int>(ResultCode::Ok));
    return Next::Done;
}

ChatCall::Next ChatCall::stream(const HttpCall &call)
{
    SseParser parser;
    m_lastBytes = SystemClock().now();
    const BackendReply reply = streamFromBackend(call, [this, &parser](std::string_view part) {
        return receive(part, &parser);
    });
    if (m_finished)
        return Next::Done;
    return judgeReply(reply);
}

ChatCall::Next ChatCall::judgeReply(const BackendReply &reply)
{
    if (reply.status == CallStatus::NotSent)
        return Next::OtherEntry;
    m_sent = true;
    if (reply.status != CallStatus::Replied)
        return m_resumeToken.empty() ? Next::OtherEntry : Next::Resume;
    if (reply.reply.status == 200)
        return m_options.stream ? Next::Resume : Next::Done;
    const JsonPtr body = parseJson(reply.reply.body);
    m_result.outcome = jsonString(body.get(), "outcome", "broken");
    m_result.code = static_cast<int>(jsonInteger(body.get(), "code"));
    if (isWorthAnotherEntry(m_result.code))
        return Next::OtherEntry;
    return Next::Done;
}

HttpCall ChatCall::makeCall() const
{
    HttpCall call;
    call.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", m_requestId}};
    if (!m_options.key.empty())
        call.headers.emplace_back("Authorization", "Bearer " + m_options.key);
    if (!m_options.rank.empty())
        call.headers.emplace_back("X-Rank", m_options.rank);
    call.timeout = std::max(timeLeft(), std::chrono::milliseconds(1));
    return call;
}

std::string ChatCall::makeBody() const
{
    const JsonPtr messages(json_array());
    json_array_append(messages.get(), makeMessage("user", m_prompt).get());
    if (m_result.tokens > 0)
        json_array_append(messages.get(), makeMessage("assistant", m_result.text).get());
    // max_tokens stays the same when the request is sent again, so that its fingerprint does;
    // the node subtracts what was received.
    const JsonPtr body(json_pack("{s:s,s:b,s:I,s:O}", "model", m_options.model.c_str(), "stream",
                                 m_options.stream ? 1 : 0, "max_tokens",
                                 static_cast<json_int_t>(m_options.maxTokens), "messages",
                                 messages.get()));
    if (m_result.tokens > 0)
        json_object_set_new(body.get(), "continue_final_message", json_true());
    return dumpJson(body.get());
}

bool ChatCall::receive(std::string_view part, SseParser *parser)
{
    const Timestamp now = SystemClock().now();
    if (part.empty())
        return now - m_lastBytes < m_options.idleLimit;
    m_lastBytes = now;
    const bool parsed = parser->feed(part, [this](const SseEvent &event) {
        takeEvent(event);
    });
    if (!parsed)
        reportFault("an event is too long");
    return m_result.fault.empty() && m_continueAt.empty();
}

void ChatCall::takeEvent(const SseEvent &event)
{
    if (!m_result.fault.empty() || m_finished)
        return;
    if (event.data == "[DONE]") {
        if (m_options.direct)
            takeOutcome("complete", static_cast<int>(ResultCode::Ok));
        return;
    }
    if (event.type == "message" && !event.id.empty()) {
        takeToken(event);
        return;
    }
    const JsonPtr data = parseJson(event.data);
    if (event.type == "outcome")
        takeOutcome(jsonString(data.get(), "outcome"),
                    static_cast<int>(jsonInteger(data.get(), "code")));
    else if (event.type == "accepted" || event.type == "moved" || event.type == "continue_at")
        m_resumeToken = jsonString(data.get(), "resume_token", m_resumeToken);
    if (event.type == "accepted") {
        const std::string id = jsonString(data.get(), "request_id", m_requestId);
        if (id != m_requestId)
            reportFault("accepted as " + id + " instead of " + m_requestId);
    }
    if (event.type == "continue_at")
        m_continueAt = jsonString(data.get(), "address");
}

void ChatCall::takeToken(const SseEvent &event)
{
    const JsonPtr chunk = parseJson(event.data);
    const json_t *choice = json_array_get(json_object_get(chunk.get(), "choices"), 0);
    const std::string token = jsonString(json_object_get(choice, "delta"), "content");
    const std::string place = "request " + m_requestId + " token "
            + std::to_string(m_result.tokens);
    if (event.id != std::to_string(m_result.tokens)) {
        reportFault(place + ": offset " + event.id);
        return;
    }
    if (token != tokenAt(m_promptHash, m_result.tokens)) {
        reportFault(place + ": '" + token + "' instead of '"
                    + tokenAt(m_promptHash, m_result.tokens) + "'");
        return;
    }
    const Timestamp now = SystemClock().now();
    if (m_result.tokens == 0)
        m_result.firstTokenMillis = millisBetween(m_begin, now);
    else
        m_result.gapMillis.push_back(static_cast<float>(millisBetween(m_lastToken, now)));
    m_lastToken = now;
    ++m_result.tokens;
    m_result.text.append(token);
}

void ChatCall::takeOutcome(std::string_view outcome, int code)
{
    // The node has neither the prompt nor the run; the caller has both prompt and text.
    if (code == static_cast<int>(ResultCode::RequestNotFound)) {
        m_runLost = true;
        return;
    }
    m_finished = true;
    m_result.outcome = outcome;
    m_result.code = code;
    if (outcome == "complete" && m_result.tokens != m_options.maxTokens)
        reportFault("request " + m_requestId + ": " + std::to_string(m_result.tokens)
                    + " tokens instead of " + std::to_string(m_options.maxTokens));
}

void ChatCall::checkWhole(std::string_view text)
{
    if (text != tokenText(m_promptHash, 0, m_options.maxTokens))
        reportFault("request " + m_requestId + ": the answer differs");
    m_result.tokens = countWords(text);
    m_result.text = text;
}

void ChatCall::reportFault(std::string text)
{
    if (m_result.fault.empty())
        m_result.fault = std::move(text);
}

std::chrono::milliseconds ChatCall::timeLeft() const
{
    const auto used = std::chrono::duration_cast<std::chrono::milliseconds>(SystemClock().now()
                                                                            - m_begin);
    return m_options.deadline - used;
}

} // namespace sesame
