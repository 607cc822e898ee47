#include "objectservice.h"

#include "Core/lastreason.h"
#include "termination.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <optional>
#include <thread>

namespace sesame {

namespace {

constexpr std::size_t maxValueBytes = 1'048'576;
constexpr std::int64_t maxWatchMillis = 30'000;

std::optional<std::uint64_t> parseNumber(const std::optional<std::string> &text)
{
    std::uint64_t number = 0;
    if (!text)
        return std::nullopt;
    const char *end = text->data() + text->size();
    const auto [it, ec] = std::from_chars(text->data(), end, number);
    if (ec != std::errc() || it != end)
        return std::nullopt;
    return number;
}

HttpResponse makeStatusResponse(int status)
{
    HttpResponse response;
    response.status = status;
    return response;
}

HttpResponse makeVersionResponse(int status, std::uint64_t version)
{
    HttpResponse response = makeStatusResponse(status);
    response.headers.emplace_back("X-Version", std::to_string(version));
    return response;
}

HttpResponse makeJsonResponse(const json_t *body)
{
    HttpResponse response;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = dumpJson(body);
    return response;
}

} // namespace

HttpResponse ObjectService::handle(const HttpRequest &request)
{
    if (request.path.starts_with("/control"))
        return handleControl(request);
    applyDelay();
    {
        const std::lock_guard lock(m_mutex);
        if (m_faults.outage)
            return makeStatusResponse(503);
        m_counts.bytes += static_cast<std::int64_t>(request.body.size());
    }
    HttpResponse response = makeStatusResponse(404);
    if (request.path == "/v1/object")
        response = handleObject(request);
    else if (request.path == "/v1/list")
        response = list(request);
    else if (request.path == "/v1/watch")
        response = watch(request);
    const std::lock_guard lock(m_mutex);
    m_counts.bytes += static_cast<std::int64_t>(response.body.size());
    return response;
}

void ObjectService::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
}

void ObjectService::applyDelay()
{
    std::unique_lock lock(m_mutex);
    const std::chrono::milliseconds delay(m_faults.delayMillis);
    m_changed.wait_for(lock, delay, [this] {
        return m_stopping;
    });
}

HttpResponse ObjectService::handleObject(const HttpRequest &request)
{
    const std::optional<std::string> key = request.query("key");
    if (!key || key->empty())
        return makeStatusResponse(400);
    if (request.method == "GET")
        return read(*key);
    if (request.method == "PUT" || request.method == "DELETE")
        return write(request, *key);
    return makeStatusResponse(405);
}

HttpResponse ObjectService::read(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.reads;
    const auto it = m_state.objects.find(key);
    if (it == m_state.objects.end() || it->second.version == 0)
        return makeStatusResponse(404);
    HttpResponse response = makeVersionResponse(200, it->second.version);
    response.headers.emplace_back("Content-Type", "application/octet-stream");
    response.body = it->second.value;
    return response;
}

HttpResponse ObjectService::write(const HttpRequest &request, const std::string &key)
{
    const auto expected = parseNumber(request.header("If-Version"));
    if (!expected)
        return makeStatusResponse(400);
    if (request.body.size() > maxValueBytes)
        return makeStatusResponse(413);
    const std::lock_guard lock(m_mutex);
    ++m_counts.writes;
    if (m_faults.refuseWrites)
        return makeStatusResponse(503);
    const bool isDeletion = request.method == "DELETE";
    const auto it = m_state.objects.find(key);
    const std::uint64_t current = it == m_state.objects.end() ? 0 : it->second.version;
    if (current != *expected)
        return makeVersionResponse(409, current);
    if (isDeletion && current == 0)
        return makeStatusResponse(404);
    const std::uint64_t revision = ++m_state.revision;
    const std::uint64_t version = isDeletion ? 0 : revision;
    m_state.objects[key] = {.value = isDeletion ? std::string() : request.body,
                            .version = version,
                            .changedAt = revision};
    m_changed.notify_all();
    HttpResponse response = makeVersionResponse(200, version);
    response.abortsConnection = m_faults.answersToLose > 0;
    m_faults.answersToLose -= response.abortsConnection ? 1 : 0;
    return response;
}

HttpResponse ObjectService::list(const HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.reads;
    return listChanges(request.query("prefix").value_or(""), 0, false);
}

HttpResponse ObjectService::watch(const HttpRequest &request)
{
    const std::string prefix = request.query("prefix").value_or("");
    const std::uint64_t after = parseNumber(request.query("after")).value_or(0);
    const std::uint64_t wait = parseNumber(request.query("wait_ms")).value_or(0);
    const auto waitMillis = std::min<std::uint64_t>(wait, maxWatchMillis);
    std::unique_lock lock(m_mutex);
    ++m_counts.watches;
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMillis), [&] {
        return m_stopping || m_faults.outage || hasChanges(prefix, after);
    });
    if (m_faults.outage)
        return makeStatusResponse(503);
    return listChanges(prefix, after, true);
}

bool ObjectService::hasChanges(const std::string &prefix, std::uint64_t after) const
{
    // Restoring a snapshot lowers the revision. The watch must report this immediately.
    if (m_state.revision < after)
        return true;
    return std::any_of(m_state.objects.begin(), m_state.objects.end(), [&](const auto &entry) {
        return entry.first.starts_with(prefix) && entry.second.changedAt > after;
    });
}

HttpResponse ObjectService::listChanges(const std::string &prefix, std::uint64_t after,
                                        bool includesDeleted) const
{
    const std::uint64_t from = m_state.revision < after ? 0 : after;
    json_t *objects = json_array();
    for (const auto &[key, object] : m_state.objects) {
        const bool listed = includesDeleted || object.version != 0;
        if (!listed || !key.starts_with(prefix) || object.changedAt <= from)
            continue;
        json_t *entry = json_object();
        json_object_set_new(entry, "key", json_stringn(key.data(), key.size()));
        json_object_set_new(entry, "version",
                            json_integer(static_cast<json_int_t>(object.version)));
        json_array_append_new(objects, entry);
    }
    const JsonPtr body(json_object());
    json_object_set_new(body.get(), "revision",
                        json_integer(static_cast<json_int_t>(m_state.revision)));
    json_object_set_new(body.get(), "objects", objects);
    return makeJsonResponse(body.get());
}

HttpResponse ObjectService::handleControl(const HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const JsonPtr answer(json_object());
    if (request.path == "/control/counts") {
        json_object_set_new(answer.get(), "reads", json_integer(m_counts.reads));
        json_object_set_new(answer.get(), "writes", json_integer(m_counts.writes));
        json_object_set_new(answer.get(), "watches", json_integer(m_counts.watches));
        json_object_set_new(answer.get(), "bytes", json_integer(m_counts.bytes));
        return makeJsonResponse(answer.get());
    }
    if (request.path == "/control/snapshot") {
        m_snapshot = m_state;
    } else if (request.path == "/control/restore") {
        m_state = m_snapshot;
    } else if (request.path == "/control") {
        const JsonPtr body = parseJson(request.body);
        if (!json_is_object(body.get()))
            return makeStatusResponse(400);
        setFaults(body.get());
    } else {
        return makeStatusResponse(404);
    }
    m_changed.notify_all();
    return makeJsonResponse(answer.get());
}

void ObjectService::setFaults(const json_t *body)
{
    m_faults.outage = jsonBool(body, "outage", m_faults.outage);
    m_faults.refuseWrites = jsonBool(body, "refuse_writes", m_faults.refuseWrites);
    m_faults.delayMillis = jsonInteger(body, "delay_ms", m_faults.delayMillis);
    m_faults.answersToLose = jsonInteger(body, "lose_answers", m_faults.answersToLose);
}

int runObjectService(const ObjectServiceOptions &options)
{
    blockTerminationSignals();
    ObjectService service;
    auto server = HttpServer::start({.address = options.address, .bodyLimitBytes = maxValueBytes},
                                    [&service](const HttpRequest &request) {
                                        return service.handle(request);
                                    });
    if (!server) {
        std::fprintf(stderr, "object service: %s\n", lastReason().text.c_str());
        return 1;
    }
    waitForTermination();
    service.stop();
    return 0;
}

} // namespace sesame
