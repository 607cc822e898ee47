#include "Adapter/objectserviceclient.h"

#include "Adapter/backendclient.h"
#include "Adapter/jsonlist.h"
#include "Core/lastreason.h"
#include "Http/httptypes.h"

#include <charconv>
#include <memory>
#include <utility>

namespace sesame {

namespace {

std::optional<std::uint64_t> parseVersion(const HttpReply &reply)
{
    const std::string_view text = reply.header("x-version");
    std::uint64_t version = 0;
    const auto [it, ec] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (ec != std::errc() || it != text.data() + text.size())
        return std::nullopt;
    return version;
}

} // namespace

ObjectServiceClient::ObjectServiceClient(ObjectServiceClientOptions options)
    : m_options(std::move(options))
{
}

StoreResult ObjectServiceClient::read(std::string_view key) const
{
    HttpCall call;
    call.url = m_options.url + "/v1/object?key=" + encodeUrlComponent(key);
    call.timeout = m_options.timeout;
    BackendReply answer = callBackend(call);
    if (answer.status != CallStatus::Replied)
        return {};
    if (answer.reply.status == 404)
        return {.status = StoreStatus::NotFound, .version = 0, .value = {}};
    const auto version = parseVersion(answer.reply);
    if (answer.reply.status != 200 || !version)
        return {};
    return {.status = StoreStatus::Ok, .version = *version, .value = std::move(answer.reply.body)};
}

StoreResult ObjectServiceClient::writeIf(std::string_view key, std::string_view value,
                                         std::uint64_t expectedVersion) const
{
    return writeConditionally("PUT", key, value, expectedVersion);
}

StoreResult ObjectServiceClient::removeIf(std::string_view key, std::uint64_t expectedVersion) const
{
    return writeConditionally("DELETE", key, {}, expectedVersion);
}

StoreResult ObjectServiceClient::writeConditionally(std::string_view method, std::string_view key,
                                                    std::string_view value,
                                                    std::uint64_t expectedVersion) const
{
    const BackendReply answer = callBackend(
            {.method = std::string(method),
             .url = m_options.url + "/v1/object?key=" + encodeUrlComponent(key),
             .headers = {{"If-Version", std::to_string(expectedVersion)},
                         {"Content-Type", "application/octet-stream"}},
             .body = std::string(value),
             .timeout = m_options.timeout});
    if (answer.status == CallStatus::NotSent)
        return {};
    const int status = answer.reply.status;
    const bool replied = answer.status == CallStatus::Replied;
    // With these statuses, the service itself reports that it has not written the object. Any other
    // error status, for example that of a gateway timeout, may arrive after the object was written.
    if (replied && (status == 503 || status == 404 || status == 400 || status == 413))
        return {};
    const auto version = parseVersion(answer.reply);
    if (!replied || !version || (status != 200 && status != 409))
        return {.status = StoreStatus::AnswerLost, .version = 0, .value = {}};
    return {.status = status == 200 ? StoreStatus::Ok : StoreStatus::Conflict,
            .version = *version,
            .value = {}};
}

std::optional<ObjectList> ObjectServiceClient::list(std::string_view prefix) const
{
    return fetchList("/v1/list?prefix=" + encodeUrlComponent(prefix), m_options.timeout);
}

std::optional<ObjectList> ObjectServiceClient::watch(std::string_view prefix,
                                                     std::uint64_t afterRevision,
                                                     std::chrono::milliseconds wait) const
{
    return fetchList("/v1/watch?prefix=" + encodeUrlComponent(prefix)
                             + "&after=" + std::to_string(afterRevision)
                             + "&wait_ms=" + std::to_string(wait.count()),
                     m_options.timeout + wait);
}

std::optional<ObjectList> ObjectServiceClient::fetchList(const std::string &path,
                                                         std::chrono::milliseconds timeout) const
{
    HttpCall call;
    call.url = m_options.url + path;
    call.timeout = timeout;
    const BackendReply answer = callBackend(call);
    if (answer.status != CallStatus::Replied)
        return fail(ResultCode::StoreUnavailable, "object service: " + answer.reason);
    const auto objects = answer.reply.status == 200 ? parseJsonList(answer.reply.body, "objects")
                                                    : std::nullopt;
    if (!objects) {
        return fail(ResultCode::StoreUnavailable,
                    "object service: status " + std::to_string(answer.reply.status));
    }
    ObjectList list {
            .revision = static_cast<std::uint64_t>(jsonInteger(objects->members.get(), "revision")),
            .objects = {}};
    for (const JsonPtr &entry : objects->elements) {
        std::string key = jsonString(entry.get(), "key");
        if (key.empty())
            continue;
        list.objects.push_back(
                {.key = std::move(key),
                 .version = static_cast<std::uint64_t>(jsonInteger(entry.get(), "version"))});
    }
    return list;
}

} // namespace sesame
