#include "chatcall.h"

#include "Adapter/json.h"
#include "Adapter/systemclock.h"
#include "Core/resultcode.h"
#include "enginetokens.h"

#include <algorithm>
#include <thread>

namespace sesame {

namespace {

constexpr std::chrono::milliseconds minRetryDelay(20);
constexpr std::chrono::milliseconds maxRetryDelay(1000);

double millisBetween(Timestamp from, Timestamp to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

JsonPtr makeMessage(const char *role, const std::string &content)
{
    return JsonPtr(json_pack("{s:s,s:s}", "role", role, "content", content.c_str()));
}

bool shouldTryOtherEntry(int code)
{
    return code == static_cast<int>(ResultCode::NodeLeaving)
            || code == static_cast<int>(ResultCode::ConfigurationUnconfirmed)
            || code == static_cast<int>(ResultCode::DuplicateRequest);
}

} // namespace

ChatCall::ChatCall(const CallerOptions &options, EntryList *entries, std::string requestId,
                   std::string prompt)
    : m_options(options), m_entries(entries), m_requestId(std::move(requestId)),
      m_prompt(std::move(prompt)), m_begin(SystemClock().now()), m_lastTokenAt(m_begin),
      m_lastDataAt(m_begin)
{
    const JsonPtr body = parseJson(makeBody());
    m_promptHash = readPrompt(body.get()).hash;
}

CallResult ChatCall::run()
{
    std::chrono::milliseconds delay = minRetryDelay;
    while (remainingTime().count() > 0 && m_result.answerError.empty()) {
        m_entry = m_namedEntry.empty() ? m_entries->choose(m_entry) : m_namedEntry;
        m_namedEntry.clear();
        const std::uint64_t tokens = m_result.tokens;
        const NextStep next = runAttempt();
        if (next == NextStep::Done || m_isFinished)
            break;
        m_resendsNext = next == NextStep::Resend;
        if (next == NextStep::OtherEntry)
            m_entries->expire();
        if (m_result.tokens > tokens || !m_namedEntry.empty()) {
            delay = minRetryDelay;
            continue;
        }
        std::this_thread::sleep_for(delay);
        delay = std::min(2 * delay, maxRetryDelay);
    }
    // An accepted request without an outcome is broken, even if another node refused it later.
    if (!m_isFinished && !m_resumeToken.empty())
        m_result.outcome = "broken";
    return std::move(m_result);
}

ChatCall::NextStep ChatCall::runAttempt()
{
    if (!m_resumeToken.empty() && !m_resendsNext)
        return resume();
    if (m_wasSent)
        ++m_result.resends;
    return send();
}

ChatCall::NextStep ChatCall::resume()
{
    ++m_result.resumes;
    HttpCall call = makeCall();
    call.url = m_entry + "/v1/requests/" + m_requestId + "?from=" + std::to_string(m_result.tokens)
            + "&token=" + m_resumeToken;
    m_isExecutionLost = false;
    const NextStep next = readStream(call);
    if (m_isExecutionLost)
        return NextStep::Resend;
    // The node reported that it cannot re-attach. Only the caller still has the prompt and the
    // text.
    return next == NextStep::Done && !m_isFinished ? NextStep::Resend : next;
}

ChatCall::NextStep ChatCall::send()
{
    if (!m_options.stream)
        return sendWithoutStreaming();
    HttpCall call = makeCall();
    call.method = "POST";
    call.url = m_entry + "/v1/chat/completions";
    call.body = makeBody();
    if (m_result.tokens > 0)
        call.headers.emplace_back("X-Resume-From", std::to_string(m_result.tokens));
    return readStream(call);
}

ChatCall::NextStep ChatCall::sendWithoutStreaming()
{
    HttpCall call = makeCall();
    call.method = "POST";
    call.url = m_entry + "/v1/chat/completions";
    call.body = makeBody();
    const BackendReply reply = callBackend(call);
    const NextStep next = evaluateReply(reply);
    if (next != NextStep::Done || reply.reply.status != 200)
        return next;
    const JsonPtr body = parseJson(reply.reply.body);
    const json_t *choice = json_array_get(json_object_get(body.get(), "choices"), 0);
    m_result.firstTokenMillis = millisBetween(m_begin, SystemClock().now());
    checkCompleteAnswer(jsonString(json_object_get(choice, "message"), "content"));
    recordOutcome("complete", static_cast<int>(ResultCode::Ok));
    return NextStep::Done;
}

ChatCall::NextStep ChatCall::readStream(const HttpCall &call)
{
    SseParser parser;
    m_lastDataAt = SystemClock().now();
    const BackendReply reply = streamFromBackend(call, [this, &parser](std::string_view part) {
        return receiveData(part, &parser);
    });
    if (m_isFinished)
        return NextStep::Done;
    return evaluateReply(reply);
}

ChatCall::NextStep ChatCall::evaluateReply(const BackendReply &reply)
{
    if (reply.status == CallStatus::NotSent)
        return NextStep::OtherEntry;
    m_wasSent = true;
    if (reply.status != CallStatus::Replied)
        return m_resumeToken.empty() ? NextStep::OtherEntry : NextStep::Resume;
    if (reply.reply.status == 200)
        return m_options.stream ? NextStep::Resume : NextStep::Done;
    const JsonPtr body = parseJson(reply.reply.body);
    m_result.outcome = jsonString(body.get(), "outcome", "broken");
    m_result.code = static_cast<int>(jsonInteger(body.get(), "code"));
    if (shouldTryOtherEntry(m_result.code))
        return NextStep::OtherEntry;
    return NextStep::Done;
}

HttpCall ChatCall::makeCall() const
{
    HttpCall call;
    call.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", m_requestId}};
    if (!m_options.accountKey.empty())
        call.headers.emplace_back("Authorization", "Bearer " + m_options.accountKey);
    if (!m_options.rank.empty())
        call.headers.emplace_back("X-Rank", m_options.rank);
    call.timeout = std::max(remainingTime(), std::chrono::milliseconds(1));
    return call;
}

std::string ChatCall::makeBody() const
{
    const JsonPtr messages(json_array());
    json_array_append(messages.get(), makeMessage("user", m_prompt).get());
    if (m_result.tokens > 0)
        json_array_append(messages.get(), makeMessage("assistant", m_result.text).get());
    // max_tokens is unchanged when the request is sent again, so that the fingerprint is unchanged
    // too. The node subtracts the tokens that were already received.
    const JsonPtr body(json_pack("{s:s,s:b,s:I,s:O}", "model", m_options.model.c_str(), "stream",
                                 m_options.stream ? 1 : 0, "max_tokens",
                                 static_cast<json_int_t>(m_options.maxTokens), "messages",
                                 messages.get()));
    if (m_result.tokens > 0)
        json_object_set_new(body.get(), "continue_final_message", json_true());
    return dumpJson(body.get());
}

bool ChatCall::receiveData(std::string_view part, SseParser *parser)
{
    const Timestamp now = SystemClock().now();
    if (part.empty())
        return now - m_lastDataAt < m_options.idleLimit;
    m_lastDataAt = now;
    const bool parsed = parser->feed(part, [this](const SseEvent &event) {
        handleEvent(event);
    });
    if (!parsed)
        recordError("an event is too long");
    return m_result.answerError.empty() && m_namedEntry.empty();
}

void ChatCall::handleEvent(const SseEvent &event)
{
    if (!m_result.answerError.empty() || m_isFinished)
        return;
    if (event.data == "[DONE]") {
        if (m_options.callsEngineDirectly)
            recordOutcome("complete", static_cast<int>(ResultCode::Ok));
        return;
    }
    if (event.type == "message" && !event.id.empty()) {
        handleToken(event);
        return;
    }
    const JsonPtr data = parseJson(event.data);
    if (event.type == "outcome")
        recordOutcome(jsonString(data.get(), "outcome"),
                      static_cast<int>(jsonInteger(data.get(), "code")));
    else if (event.type == "accepted" || event.type == "moved" || event.type == "continue_at")
        m_resumeToken = jsonString(data.get(), "resume_token", m_resumeToken);
    if (event.type == "accepted") {
        const std::string id = jsonString(data.get(), "request_id", m_requestId);
        if (id != m_requestId)
            recordError("accepted as " + id + " instead of " + m_requestId);
    }
    if (event.type == "continue_at")
        m_namedEntry = jsonString(data.get(), "address");
}

void ChatCall::handleToken(const SseEvent &event)
{
    const JsonPtr chunk = parseJson(event.data);
    const json_t *choice = json_array_get(json_object_get(chunk.get(), "choices"), 0);
    const std::string token = jsonString(json_object_get(choice, "delta"), "content");
    const std::string position = "request " + m_requestId + " token "
            + std::to_string(m_result.tokens);
    if (event.id != std::to_string(m_result.tokens)) {
        recordError(position + ": offset " + event.id);
        return;
    }
    if (token != tokenAt(m_promptHash, m_result.tokens)) {
        recordError(position + ": '" + token + "' instead of '"
                    + tokenAt(m_promptHash, m_result.tokens) + "'");
        return;
    }
    const Timestamp now = SystemClock().now();
    if (m_result.tokens == 0)
        m_result.firstTokenMillis = millisBetween(m_begin, now);
    else
        m_result.gapMillis.push_back(static_cast<float>(millisBetween(m_lastTokenAt, now)));
    m_lastTokenAt = now;
    ++m_result.tokens;
    m_result.text.append(token);
}

void ChatCall::recordOutcome(std::string_view outcome, int code)
{
    // The node has neither the prompt nor the running request. The caller has the prompt and the
    // received text and can send the request again.
    if (code == static_cast<int>(ResultCode::RequestNotFound)) {
        m_isExecutionLost = true;
        return;
    }
    m_isFinished = true;
    m_result.outcome = outcome;
    m_result.code = code;
    if (outcome == "complete" && m_result.tokens != m_options.maxTokens)
        recordError("request " + m_requestId + ": " + std::to_string(m_result.tokens)
                    + " tokens instead of " + std::to_string(m_options.maxTokens));
}

void ChatCall::checkCompleteAnswer(std::string_view text)
{
    if (text != tokenText(m_promptHash, 0, m_options.maxTokens))
        recordError("request " + m_requestId + ": the answer differs");
    m_result.tokens = countWords(text);
    m_result.text = text;
}

void ChatCall::recordError(std::string text)
{
    if (m_result.answerError.empty())
        m_result.answerError = std::move(text);
}

std::chrono::milliseconds ChatCall::remainingTime() const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(SystemClock().now()
                                                                               - m_begin);
    return m_options.deadline - elapsed;
}

} // namespace sesame
