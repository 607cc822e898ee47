#include "applicationengine.h"

#include "Core/lastreason.h"
#include "termination.h"

#include <chrono>
#include <cstdio>
#include <optional>
#include <string_view>

namespace sesame {

namespace {

constexpr std::string_view statusPath = "/status/";
constexpr std::string_view stockPath = "/stock/";
constexpr std::int64_t stockLevelCount = 500;

HttpResponse makeJsonResponse(int status, const json_t *body)
{
    HttpResponse response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = dumpJson(body);
    return response;
}

HttpResponse makeBrokenResponse()
{
    HttpResponse response;
    response.abortsConnection = true;
    return response;
}

// The level depends only on the item, so that a test can compare repeated answers.
HttpResponse makeStockResponse(std::string_view item)
{
    std::int64_t level = 0;
    for (const char c : item)
        level = (level * 31 + static_cast<unsigned char>(c)) % stockLevelCount;
    const JsonPtr body(json_object());
    json_object_set_new(body.get(), "item", json_stringn(item.data(), item.size()));
    json_object_set_new(body.get(), "level", json_integer(level));
    return makeJsonResponse(200, body.get());
}

} // namespace

HttpResponse ApplicationEngine::handle(const HttpRequest &request)
{
    if (request.path.starts_with("/control"))
        return handleControl(request);
    std::unique_lock lock(m_mutex);
    m_stopped.wait_for(lock, std::chrono::milliseconds(m_faults.delayMillis), [this] {
        return m_stopping;
    });
    if (m_stopping)
        return makeBrokenResponse();
    if (m_faults.dropsBeforeExecution > 0) {
        --m_faults.dropsBeforeExecution;
        return makeBrokenResponse();
    }
    HttpResponse response = handleCall(request);
    if (m_faults.dropsAfterExecution > 0) {
        --m_faults.dropsAfterExecution;
        return makeBrokenResponse();
    }
    return response;
}

void ApplicationEngine::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_stopped.notify_all();
}

HttpResponse ApplicationEngine::handleCall(const HttpRequest &request)
{
    const std::string_view path = request.path;
    if (request.method == "GET" && path.starts_with(statusPath)) {
        const std::string key(path.substr(statusPath.size()));
        const JsonPtr body(json_object());
        json_object_set_new(body.get(), "executed", json_boolean(m_executions.contains(key)));
        return makeJsonResponse(200, body.get());
    }
    if (request.method == "GET" && path.starts_with(stockPath))
        return makeStockResponse(path.substr(stockPath.size()));
    if (request.method == "POST")
        return execute(request);
    const JsonPtr body(json_object());
    json_object_set_new(body.get(), "path", json_stringn(path.data(), path.size()));
    return makeJsonResponse(200, body.get());
}

HttpResponse ApplicationEngine::execute(const HttpRequest &request)
{
    const std::string key = request.header("Idempotency-Key").value_or("");
    ++m_executions[key];
    const JsonPtr body(json_object());
    json_object_set_new(body.get(), "number", json_integer(++m_executionCount));
    json_object_set_new(body.get(), "key", json_stringn(key.data(), key.size()));
    json_object_set_new(body.get(), "body_bytes",
                        json_integer(static_cast<json_int_t>(request.body.size())));
    return makeJsonResponse(200, body.get());
}

HttpResponse ApplicationEngine::handleControl(const HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const JsonPtr answer(json_object());
    if (request.path == "/control/executions") {
        for (const auto &[key, count] : m_executions)
            json_object_set_new(answer.get(), key.c_str(), json_integer(count));
        return makeJsonResponse(200, answer.get());
    }
    const JsonPtr body = parseJson(request.body);
    if (request.path != "/control" || !json_is_object(body.get()))
        return makeJsonResponse(400, answer.get());
    m_faults.delayMillis = jsonInteger(body.get(), "delay_ms", m_faults.delayMillis);
    m_faults.dropsBeforeExecution = jsonInteger(body.get(), "drop_before",
                                                m_faults.dropsBeforeExecution);
    m_faults.dropsAfterExecution = jsonInteger(body.get(), "drop_after",
                                               m_faults.dropsAfterExecution);
    return makeJsonResponse(200, answer.get());
}

int runApplicationEngine(const ApplicationEngineOptions &options)
{
    blockTerminationSignals();
    ApplicationEngine engine;
    auto server = HttpServer::start({.address = options.address},
                                    [&engine](const HttpRequest &request) {
                                        return engine.handle(request);
                                    });
    if (!server) {
        std::fprintf(stderr, "application engine: %s\n", lastReason().text.c_str());
        return 1;
    }
    waitForTermination();
    engine.stop();
    return 0;
}

} // namespace sesame
