#include "Node/chatrequest.h"

#include "Adapter/json.h"
#include "Core/lastreason.h"

#include <algorithm>
#include <cctype>

namespace sesame {

namespace {

constexpr std::int64_t defaultMaxTokens = 256;
constexpr std::int64_t maxTokensLimit = 1'000'000;

bool isContinuation(const json_t *root, const json_t *lastMessage)
{
    return jsonBool(root, "continue_final_message")
            && jsonString(lastMessage, "role") == "assistant";
}

bool readMessages(json_t *root, ChatRequest *request)
{
    json_t *messages = json_object_get(root, "messages");
    std::size_t n = json_array_size(messages);
    if (n == 0)
        return false;
    const json_t *last = json_array_get(messages, n - 1);
    if (isContinuation(root, last)) {
        request->receivedText = jsonString(last, "content");
        json_array_remove(messages, --n);
        json_object_del(root, "continue_final_message");
    }
    for (std::size_t index = 0; index < n; ++index) {
        const json_t *message = json_array_get(messages, index);
        if (!json_is_string(json_object_get(message, "content")))
            return false;
        request->prompt.append(jsonString(message, "role")).append("\n");
        request->prompt.append(jsonString(message, "content")).append("\n");
    }
    return n > 0;
}

} // namespace

std::optional<ChatRequest> parseChatRequest(std::string_view body)
{
    const JsonPtr root = parseJson(body);
    if (!json_is_object(root.get()))
        return fail(ResultCode::MalformedRequest, "the body is not a JSON object");
    ChatRequest request;
    request.model = jsonString(root.get(), "model");
    if (request.model.empty())
        return fail(ResultCode::MalformedRequest, "model: missing or not a string");
    request.stream = jsonBool(root.get(), "stream");
    request.maxTokens = jsonInteger(root.get(), "max_tokens", defaultMaxTokens);
    if (request.maxTokens < 1 || request.maxTokens > maxTokensLimit)
        return fail(ResultCode::MalformedRequest, "max_tokens: allowed are 1 to 1000000");
    if (!readMessages(root.get(), &request))
        return fail(ResultCode::MalformedRequest,
                    "messages: needs at least one message with a text content");
    request.body = dumpJson(root.get());
    return request;
}

std::string makeEngineBody(const ChatRequest &request, const Continuation &start,
                           std::chrono::seconds retention)
{
    const JsonPtr root = parseJson(request.body);
    json_object_set_new(root.get(), "stream", json_true());
    json_object_set_new(root.get(), "keep_seconds", json_integer(retention.count()));
    const std::int64_t rest = request.maxTokens - static_cast<std::int64_t>(start.tokens);
    json_object_set_new(root.get(), "max_tokens", json_integer(std::max<std::int64_t>(rest, 1)));
    if (!start.text.empty()) {
        json_t *message = json_object();
        json_object_set_new(message, "role", json_string("assistant"));
        json_object_set_new(message, "content", json_stringn(start.text.data(), start.text.size()));
        json_array_append_new(json_object_get(root.get(), "messages"), message);
        json_object_set_new(root.get(), "continue_final_message", json_true());
    }
    return dumpJson(root.get());
}

std::int64_t estimateTokenCount(std::string_view text)
{
    std::int64_t count = 0;
    bool inWord = false;
    for (const char c : text) {
        const bool space = std::isspace(static_cast<unsigned char>(c)) != 0;
        count += (!space && !inWord) ? 1 : 0;
        inWord = !space;
    }
    return count;
}

} // namespace sesame
