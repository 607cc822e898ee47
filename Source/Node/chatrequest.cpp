#include "Node/chatrequest.h"

#include "Adapter/json.h"
#include "Core/lastreason.h"

#include <xxhash.h>

#include <array>
#include <cctype>
#include <cstdio>

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
    for (std::size_t it = 0; it < n; ++it) {
        const json_t *message = json_array_get(messages, it);
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

std::string makeEngineBody(const ChatRequest &request, std::string_view prefix,
                           std::int64_t keepSeconds)
{
    const JsonPtr root = parseJson(request.body);
    json_object_set_new(root.get(), "stream", json_true());
    json_object_set_new(root.get(), "keep_seconds", json_integer(keepSeconds));
    if (!prefix.empty()) {
        json_t *message = json_object();
        json_object_set_new(message, "role", json_string("assistant"));
        json_object_set_new(message, "content", json_stringn(prefix.data(), prefix.size()));
        json_array_append_new(json_object_get(root.get(), "messages"), message);
        json_object_set_new(root.get(), "continue_final_message", json_true());
    }
    return dumpJson(root.get());
}

std::int64_t estimateTokens(std::string_view text)
{
    std::int64_t n = 0;
    bool inWord = false;
    for (const char c : text) {
        const bool space = std::isspace(static_cast<unsigned char>(c)) != 0;
        n += (!space && !inWord) ? 1 : 0;
        inWord = !space;
    }
    return n;
}

std::string makeFingerprint(std::string_view account, std::string_view body)
{
    const XXH64_hash_t seed = XXH3_64bits(account.data(), account.size());
    const XXH128_hash_t hash = XXH3_128bits_withSeed(body.data(), body.size(), seed);
    std::array<char, 33> buf {};
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return std::string(buf.data());
}

} // namespace sesame
