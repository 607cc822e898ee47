#include "Node/engineordertarget.h"

#include "Adapter/backendclient.h"
#include "Adapter/json.h"
#include "Adapter/log.h"

namespace sesame {

namespace {

constexpr int httpOk = 200;
constexpr int httpConflict = 409;
constexpr std::chrono::milliseconds callTimeout = EngineOrderTarget::sendTimeout;

// Engine and model names may contain any character except a line break.
constexpr char targetSeparator = '\n';

std::string_view parseModel(std::string_view target)
{
    return target.substr(target.rfind(targetSeparator) + 1);
}

} // namespace

std::string EngineOrderTarget::makeTarget(std::string_view engine, std::string_view model)
{
    return std::string(engine) + targetSeparator + std::string(model);
}

std::string_view EngineOrderTarget::parseEngine(std::string_view target)
{
    return target.substr(0, target.rfind(targetSeparator));
}

std::optional<std::string> EngineOrderTarget::findAddress(std::string_view target)
{
    const Timestamp now = m_context.clock.now();
    for (const BackendView &engine : m_context.backends.lock()->engines(now)) {
        if (engine.id == parseEngine(target))
            return engine.address;
    }
    return std::nullopt;
}

std::optional<std::string> EngineOrderTarget::observe(std::string_view target)
{
    const auto address = findAddress(target);
    if (!address)
        return std::nullopt;
    const BackendReply reply = callBackend({.method = "GET",
                                            .url = *address + "/v1/load",
                                            .headers = {},
                                            .body = {},
                                            .timeout = callTimeout});
    if (reply.status != CallStatus::Replied || reply.reply.status != httpOk)
        return std::nullopt;
    const JsonPtr body = parseJson(reply.reply.body);
    const json_t *models = json_object_get(body.get(), "models");
    if (!json_is_array(models))
        return std::nullopt;
    for (std::size_t n = 0; n < json_array_size(models); ++n) {
        const char *name = json_string_value(json_array_get(models, n));
        if (name && parseModel(target) == name)
            return std::string(modelLoaded);
    }
    return std::string(json_array_size(models) == 0 ? modelLoaded : modelMissing);
}

OrderStatus EngineOrderTarget::send(const Order &order)
{
    const auto address = findAddress(order.target);
    if (!address || order.state != modelLoaded)
        return OrderStatus::Failed;
    const std::string model(parseModel(order.target));
    const JsonPtr body(json_pack("{s:s,s:s,s:I}", "order", "load_model", "argument", model.c_str(),
                                 "fencing", static_cast<json_int_t>(order.fencingNumber)));
    const BackendReply reply = callBackend({.method = "POST",
                                            .url = *address + "/v1/orders",
                                            .headers = {{"Content-Type", "application/json"}},
                                            .body = dumpJson(body.get()),
                                            .timeout = callTimeout});
    const bool replied = reply.status == CallStatus::Replied;
    const int status = replied ? reply.reply.status : 0;
    logEvent(LogLevel::Info, "model load ordered",
             {{"engine", parseEngine(order.target)},
              {"model", model},
              {"fencing", static_cast<std::int64_t>(order.fencingNumber)},
              {"status", std::int64_t {status}}});
    if (status == httpOk)
        return OrderStatus::Done;
    return status == httpConflict ? OrderStatus::FencingRefused : OrderStatus::Failed;
}

} // namespace sesame
