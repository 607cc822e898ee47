#include "Adapter/cloudclient.h"

#include "Core/lastreason.h"
#include "Http/httptypes.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sesame {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;

constexpr std::array<std::string_view, 3> kindNames {"entry", "engine", "service"};
constexpr std::array<std::string_view, 2> marketNames {"reclaimable", "on_demand"};

template <std::size_t count>
std::optional<std::size_t> findName(const std::array<std::string_view, count> &names,
                                    std::string_view name)
{
    const auto it = std::find(names.begin(), names.end(), name);
    if (it == names.end())
        return std::nullopt;
    return static_cast<std::size_t>(it - names.begin());
}

json_t *makeJsonString(std::string_view text)
{
    return json_stringn(text.data(), text.size());
}

} // namespace

std::optional<Market> parseMarket(std::string_view name)
{
    const auto index = findName(marketNames, name);
    if (!index)
        return std::nullopt;
    return static_cast<Market>(*index);
}

JsonPtr toJson(const ListedInstance &instance)
{
    JsonPtr value(json_object());
    json_t *object = value.get();
    json_object_set_new(object, "id", makeJsonString(instance.id));
    json_object_set_new(object, "incarnation", json_integer(instance.incarnation));
    json_object_set_new(object, "kind",
                        makeJsonString(kindNames[static_cast<size_t>(instance.kind)]));
    json_object_set_new(object, "class", makeJsonString(instance.className));
    json_object_set_new(object, "service", makeJsonString(instance.service));
    json_object_set_new(object, "address", makeJsonString(instance.address));
    json_object_set_new(object, "zone", makeJsonString(instance.zone));
    json_object_set_new(object, "market",
                        makeJsonString(marketNames[static_cast<size_t>(instance.market)]));
    json_object_set_new(object, "price_per_hour", json_real(instance.pricePerHour));
    json_object_set_new(object, "state", makeJsonString(instance.leaving ? "leaving" : "running"));
    return value;
}

std::optional<ListedInstance> instanceFromJson(const json_t *value)
{
    const auto kind = findName(kindNames, jsonString(value, "kind"));
    const auto market = parseMarket(jsonString(value, "market", "reclaimable"));
    const std::string state = jsonString(value, "state", "running");
    ListedInstance instance {.id = jsonString(value, "id"),
                             .incarnation = jsonInteger(value, "incarnation"),
                             .kind = static_cast<InstanceKind>(kind.value_or(0)),
                             .className = jsonString(value, "class"),
                             .service = jsonString(value, "service"),
                             .address = jsonString(value, "address"),
                             .zone = jsonString(value, "zone"),
                             .market = market.value_or(Market::Reclaimable),
                             .pricePerHour = jsonNumber(value, "price_per_hour"),
                             .leaving = state == "leaving"};
    if (instance.id.empty() || !kind || !market || (state != "running" && state != "leaving"))
        return std::nullopt;
    return instance;
}

CloudClient::CloudClient(std::string url, std::chrono::milliseconds timeout)
    : m_url(std::move(url)), m_timeout(timeout)
{
}

BackendReply CloudClient::send(std::string method, std::string_view path, std::string body) const
{
    HttpCall call;
    call.method = std::move(method);
    call.url = m_url;
    call.url.append(path);
    call.timeout = m_timeout;
    if (!body.empty())
        call.headers.emplace_back("Content-Type", "application/json");
    call.body = std::move(body);
    return callBackend(call);
}

std::optional<JsonList> CloudClient::readList(std::string_view path, std::string_view key) const
{
    const BackendReply reply = send("GET", path);
    if (reply.status != CallStatus::Replied || reply.reply.status != statusOk)
        return fail(ResultCode::BackendFailed, "cloud API: " + reply.reason);
    auto list = parseJsonList(reply.reply.body, key);
    if (!list)
        return fail(ResultCode::BackendFailed,
                    "cloud API: the response has no array \"" + std::string(key) + "\"");
    return list;
}

std::optional<std::vector<ListedInstance>> CloudClient::fetchInstances() const
{
    auto instances = fetchAllInstances();
    if (instances) {
        std::erase_if(*instances, [](const ListedInstance &instance) {
            return instance.address.empty();
        });
    }
    return instances;
}

std::optional<std::vector<ListedInstance>> CloudClient::fetchAllInstances() const
{
    const auto list = readList("/v1/instances", "instances");
    if (!list)
        return std::nullopt;
    std::vector<ListedInstance> instances;
    for (const JsonPtr &element : list->elements) {
        if (auto instance = instanceFromJson(element.get()))
            instances.push_back(std::move(*instance));
    }
    return instances;
}

std::optional<NoticeBatch> CloudClient::fetchNotices(std::int64_t after) const
{
    const auto list = readList("/v1/notices?after=" + std::to_string(after), "notices");
    if (!list)
        return std::nullopt;
    NoticeBatch batch {.sequence = jsonInteger(list->members.get(), "sequence", after),
                       .notices = {}};
    for (const JsonPtr &notice : list->elements) {
        batch.notices.push_back({.sequence = jsonInteger(notice.get(), "sequence"),
                                 .instance = jsonString(notice.get(), "instance"),
                                 .zone = jsonString(notice.get(), "zone"),
                                 .deadline = jsonInteger(notice.get(), "deadline_unix_ms")});
    }
    return batch;
}

StartResult CloudClient::start(const StartRequest &order) const
{
    const JsonPtr body(json_object());
    json_object_set_new(body.get(), "client_token", makeJsonString(order.clientToken));
    json_object_set_new(body.get(), "class", makeJsonString(order.className));
    json_object_set_new(body.get(), "zone", makeJsonString(order.zone));
    json_object_set_new(body.get(), "market",
                        makeJsonString(marketNames[static_cast<std::size_t>(order.market)]));
    const BackendReply reply = send("POST", "/v1/instances", dumpJson(body.get()));
    if (reply.status == CallStatus::NotSent)
        return {.status = StartStatus::Unavailable, .instance = {}};
    if (reply.status != CallStatus::Replied)
        return {.status = StartStatus::AnswerLost, .instance = {}};
    if (reply.reply.status == statusConflict)
        return {.status = StartStatus::Refused, .instance = {}};
    // After an error status, it is unknown whether an instance was started before the error.
    if (reply.reply.status != statusOk)
        return {.status = StartStatus::AnswerLost, .instance = {}};
    const JsonPtr value = parseJson(reply.reply.body);
    return {.status = StartStatus::Started, .instance = jsonString(value.get(), "id")};
}

bool CloudClient::stop(std::string_view instance) const
{
    const BackendReply reply = send("DELETE", "/v1/instances?id=" + encodeUrlComponent(instance));
    if (reply.status == CallStatus::Replied
        && (reply.reply.status == statusOk || reply.reply.status == statusNotFound))
        return true;
    fail(ResultCode::BackendFailed, "cloud API: " + reply.reason);
    return false;
}

} // namespace sesame
