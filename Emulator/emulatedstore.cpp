#include "emulatedstore.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdlib>
#include <stdexcept>

namespace sesame {

namespace {

constexpr std::string_view objectsPath = "/api/objects/";
constexpr std::size_t maxConnections = 512;

void sendJson(const std::shared_ptr<ServerConnection> &connection, unsigned status,
              const std::string &body)
{
    HttpFields fields;
    fields.set("Content-Type", "application/json");
    connection->sendResponse(status, fields, body);
}

std::map<std::string, std::string> readQuery(std::string_view target)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos)
        return {};
    std::map<std::string, std::string> query;
    const std::string text(target.substr(mark + 1));
    for (const absl::string_view item : absl::StrSplit(text, '&')) {
        const std::pair<std::string, std::string> pair = absl::StrSplit(item,
                                                                        absl::MaxSplits('=', 1));
        query[pair.first] = pair.second;
    }
    return query;
}

} // namespace

EmulatedStore::EmulatedStore(asio::io_context &context, const Tcp::endpoint &address)
    : m_context(context),
      m_listener(
              context,
              [this](const ConnectionPtr &connection, RequestMessage &&request) {
                  serve(connection, request);
              },
              maxConnections)
{
    if (const auto ec = m_listener.open(address))
        throw std::runtime_error("store address: " + ec.message());
}

void EmulatedStore::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    m_objects[kind][name].spec = spec;
    record(kind, name, false);
}

void EmulatedStore::erase(const std::string &kind, const std::string &name)
{
    if (m_objects[kind].erase(name) > 0)
        record(kind, name, true);
}

std::size_t EmulatedStore::objectCount(const std::string &kind) const
{
    const auto found = m_objects.find(kind);
    return found == m_objects.end() ? 0 : found->second.size();
}

void EmulatedStore::record(const std::string &kind, const std::string &name, bool deleted)
{
    ++m_revision;
    Object object {.revision = m_revision};
    if (!deleted) {
        m_objects[kind][name].revision = m_revision;
        object = m_objects[kind][name];
    }
    m_history.push_back({m_revision, kind, name, deleted, object});
    if (m_fault != Fault::None)
        return;
    std::erase_if(m_watches, [this](const auto &watch) {
        return answerWatch(*watch, false);
    });
}

bool EmulatedStore::stopAnsweringWatch(const std::string &kind)
{
    const auto found = std::find_if(m_watches.rbegin(), m_watches.rend(), [&](const auto &watch) {
        return watch->kind == kind;
    });
    if (found == m_watches.rend())
        return false;
    (*found)->timer->cancel();
    m_watches.erase(std::next(found).base());
    return true;
}

void EmulatedStore::serve(const ConnectionPtr &connection, const RequestMessage &request)
{
    ++m_callCount;
    if (m_fault == Fault::NoAnswer) {
        m_unanswered.push_back(connection);
        return;
    }
    const std::string_view target = toStd(request.target());
    const std::string_view path = target.substr(0, target.find('?'));
    if (m_fault == Fault::Unavailable || !path.starts_with(objectsPath)) {
        sendJson(connection, m_fault == Fault::Unavailable ? 503 : 404, "{}");
        return;
    }
    const std::string rest(path.substr(objectsPath.size()));
    const std::pair<std::string, std::string> key = absl::StrSplit(rest, absl::MaxSplits('/', 1));
    if (request.method() == beast::http::verb::get)
        serveRead(connection, key.first, key.second, readQuery(target));
    else
        serveWrite(connection, request, key.first, key.second);
}

void EmulatedStore::serveRead(const ConnectionPtr &connection, const std::string &kind,
                              const std::string &name,
                              const std::map<std::string, std::string> &query)
{
    const auto watch = query.find("watch");
    if (watch != query.end()) {
        const auto wait = query.find("waitMs");
        serveWatch(connection, kind, std::strtoull(watch->second.c_str(), nullptr, 10),
                   wait == query.end() ? 0 : std::atoi(wait->second.c_str()));
        return;
    }
    const std::map<std::string, Object> &objects = m_objects[kind];
    if (!name.empty()) {
        const auto found = objects.find(name);
        if (found == objects.end())
            sendJson(connection, 404, "{}");
        else
            sendJson(connection, 200, formatObject(name, found->second));
        return;
    }
    // Pages are small, so that readers have to request further pages.
    constexpr std::size_t pageSize = 3;
    const auto since = query.find("sinceRevision");
    auto next = since == query.end() ? objects.begin() : objects.upper_bound(since->second);
    std::string entries;
    for (std::size_t i = 0; i < pageSize && next != objects.end(); ++i, ++next)
        entries += (entries.empty() ? "" : ",") + formatObject(next->first, next->second);
    sendJson(connection, 200,
             "{\"entries\":[" + entries
                     + "],\"hasMore\":" + (next == objects.end() ? "false" : "true")
                     + ",\"asOf\":" + std::to_string(m_revision) + "}");
}

void EmulatedStore::serveWatch(const ConnectionPtr &connection, const std::string &kind,
                               std::uint64_t revision, int waitMs)
{
    if (revision < m_oldestRevision) {
        sendJson(connection, 410, "{}");
        return;
    }
    const auto watch = std::make_shared<Watch>();
    watch->kind = kind;
    watch->revision = revision;
    watch->connection = connection;
    if (answerWatch(*watch, false))
        return;
    watch->timer = std::make_unique<asio::steady_timer>(m_context,
                                                        std::chrono::milliseconds(waitMs));
    watch->timer->async_wait([this, watch](const boost::system::error_code &ec) {
        if (ec)
            return;
        std::erase(m_watches, watch);
        if (m_fault == Fault::None)
            answerWatch(*watch, true);
    });
    m_watches.push_back(watch);
}

/*!
    Answers \a watch with the changes of its kind. If there are none, answers only if
    \a evenIfEmpty is set, else returns false.
*/
bool EmulatedStore::answerWatch(Watch &watch, bool evenIfEmpty)
{
    std::string events;
    for (const Change &change : m_history) {
        if (change.kind != watch.kind || change.revision <= watch.revision)
            continue;
        events += (events.empty() ? "" : ",") + std::string("{\"deleted\":")
                + (change.deleted ? "true" : "false")
                + ",\"object\":" + formatObject(change.name, change.object) + "}";
    }
    if (events.empty() && !evenIfEmpty)
        return false;
    if (const auto connection = watch.connection.lock())
        sendJson(connection, 200,
                 "{\"events\":[" + events + "],\"asOf\":" + std::to_string(m_revision) + "}");
    return true;
}

void EmulatedStore::serveWrite(const ConnectionPtr &connection, const RequestMessage &request,
                               const std::string &kind, const std::string &name)
{
    const JsonPtr body = parseJson(request.body());
    constexpr std::string_view statusPath = "/status";
    if (name.ends_with(statusPath)) {
        serveStatus(connection, kind, name.substr(0, name.size() - statusPath.size()), body.get());
        return;
    }
    const json_t *metadata = json_object_get(body.get(), "metadata");
    const bool creates = request.method() == beast::http::verb::post;
    const std::string target = creates ? jsonString(metadata, "name") : name;
    std::map<std::string, Object> &objects = m_objects[kind];
    const auto found = objects.find(target);
    const bool exists = found != objects.end();
    const auto expected = static_cast<std::uint64_t>(jsonInteger(metadata, "revision"));
    if (!creates && !exists) {
        sendJson(connection, 404, "{}");
        return;
    }
    if (exists && (creates || (expected != 0 && expected != found->second.revision))) {
        sendJson(connection, 409, formatObject(target, found->second));
        return;
    }
    if (request.method() == beast::http::verb::delete_) {
        erase(kind, target);
    } else {
        const std::string spec = dumpJson(json_object_get(body.get(), "spec"));
        // A write that changes nothing keeps the revision.
        if (!exists || found->second.spec != spec)
            put(kind, target, spec);
    }
    if (m_answersToLose > 0) {
        --m_answersToLose;
        m_unanswered.push_back(connection);
        return;
    }
    const Object &written = objects[target];
    sendJson(connection, 200, formatObject(target, written));
}

void EmulatedStore::serveStatus(const ConnectionPtr &connection, const std::string &kind,
                                const std::string &name, const json_t *body)
{
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end()) {
        sendJson(connection, 404, "{}");
        return;
    }
    const json_t *status = json_object_get(body, "status");
    found->second.status = dumpJson(status ? status : body);
    record(kind, name, false);
    sendJson(connection, 200, formatObject(name, found->second));
}

std::string EmulatedStore::status(const std::string &kind, const std::string &name) const
{
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end())
        return {};
    const auto found = objects->second.find(name);
    return found == objects->second.end() ? std::string() : found->second.status;
}

std::string EmulatedStore::formatObject(const std::string &name, const Object &object)
{
    return "{\"metadata\":{\"name\":\"" + name
            + "\",\"revision\":" + std::to_string(object.revision)
            + ",\"created\":1,\"finalizers\":[],\"deletionPending\":false},\"spec\":"
            + (object.spec.empty() ? "null" : object.spec)
            + ",\"status\":" + (object.status.empty() ? "null" : object.status) + "}";
}

} // namespace sesame
