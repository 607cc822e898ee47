#include "storeclient.h"

#include "Adapter/backendclient.h"

#include <charconv>
#include <utility>

namespace sesame {

namespace {

std::uint64_t readVersion(const HttpReply &reply)
{
    const std::string_view text = reply.header("x-version");
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

} // namespace

StoreClient::StoreClient(std::string baseUrl) : m_baseUrl(std::move(baseUrl)) { }

StoreResult StoreClient::read(std::string_view key)
{
    BackendReply answer = callBackend({.method = "GET",
                                       .url = m_baseUrl + "/v1/object?key=" + std::string(key),
                                       .headers = {},
                                       .body = {}});
    if (answer.status != CallStatus::Replied)
        return {};
    const std::uint64_t version = readVersion(answer.reply);
    if (answer.reply.status == 200)
        return {.status = StoreStatus::Ok,
                .version = version,
                .value = std::move(answer.reply.body)};
    if (answer.reply.status == 404)
        return {.status = StoreStatus::NotFound, .version = 0, .value = {}};
    return {};
}

StoreResult StoreClient::writeIf(std::string_view key, std::string_view value,
                                 std::uint64_t expectedVersion)
{
    const BackendReply answer = callBackend(
            {.method = "PUT",
             .url = m_baseUrl + "/v1/object?key=" + std::string(key),
             .headers = {{"If-Version", std::to_string(expectedVersion)}},
             .body = std::string(value)});
    if (answer.status == CallStatus::NotSent)
        return {};
    if (answer.status != CallStatus::Replied)
        return {.status = StoreStatus::AnswerLost, .version = 0, .value = {}};
    const std::uint64_t version = readVersion(answer.reply);
    switch (answer.reply.status) {
    case 200:
        return {.status = StoreStatus::Ok, .version = version, .value = {}};
    case 409:
        return {.status = StoreStatus::Conflict, .version = version, .value = {}};
    case 503:
        return {};
    default:
        // Another status, for example of a gateway, does not tell whether the write took effect.
        return {.status = StoreStatus::AnswerLost, .version = 0, .value = {}};
    }
}

} // namespace sesame
