#include "emulatedstore.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <optional>
#include <stdexcept>
#include <utility>

namespace sesame {

namespace {

constexpr std::string_view objectsPath = "/api/objects/";
constexpr std::size_t maxConnections = 512;

/*!
    Resolves the percent-encoded bytes of \a text, and plus signs if \a isForm is set. Returns
    std::nullopt if no two hexadecimal digits follow a percent sign.
*/
std::optional<std::string> decodeComponent(std::string_view text, bool isForm)
{
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += isForm && text[i] == '+' ? ' ' : text[i];
            continue;
        }
        const std::string digits(text.substr(i + 1, 2));
        if (digits.size() < 2 || std::isxdigit(static_cast<unsigned char>(digits[0])) == 0
            || std::isxdigit(static_cast<unsigned char>(digits[1])) == 0)
            return std::nullopt;
        decoded += static_cast<char>(std::stoi(digits, nullptr, hexadecimal));
        i += 2;
    }
    return decoded;
}

/*!
    The parts of a request target, as HTTP servers read it: a fragment is ignored, and parts are
    decoded after they were separated.
*/
struct Target
{
    explicit Target(std::string_view text)
    {
        text = text.substr(0, text.find('#'));
        const std::size_t mark = text.find('?');
        const std::string_view path = text.substr(0, mark);
        isObjects = path.starts_with(objectsPath);
        if (isObjects)
            readPath(path.substr(objectsPath.size()));
        if (mark != std::string_view::npos)
            readQuery(text.substr(mark + 1));
    }

    void readPath(std::string_view path)
    {
        for (const absl::string_view item :
             absl::StrSplit(absl::string_view(path.data(), path.size()), '/'))
            segments.push_back(decode(item, false));
    }

    void readQuery(std::string_view text)
    {
        for (const absl::string_view item :
             absl::StrSplit(absl::string_view(text.data(), text.size()), '&')) {
            const std::pair<absl::string_view, absl::string_view> pair = absl::StrSplit(
                    item, absl::MaxSplits('=', 1));
            query[decode(pair.first, true)] = decode(pair.second, true);
        }
    }

    std::string decode(absl::string_view text, bool isForm)
    {
        const auto decoded = decodeComponent({text.data(), text.size()}, isForm);
        isValid = isValid && decoded;
        return decoded.value_or(std::string());
    }

    bool isValid = true; //!< Whether all parts can be decoded.
    bool isObjects = false; //!< Whether the path is that of objects.
    std::vector<std::string> segments; //!< Of the path, after that of all objects.
    std::map<std::string, std::string> query;
};

/*!
    Returns \a text as a JSON string. Bytes that are no UTF-8 stay as they are.
*/
std::string quote(const std::string &text)
{
    constexpr unsigned char firstPrintable = 0x20;
    std::string quoted = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            quoted += '\\';
        if (static_cast<unsigned char>(c) >= firstPrintable)
            quoted += c;
        else
            quoted += absl::StrCat("\\u",
                                   absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad4));
    }
    return quoted + "\"";
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

void EmulatedStore::sendJson(const ConnectionPtr &connection, unsigned status,
                             const std::string &body) const
{
    HttpFields fields;
    fields.set("Content-Type", "application/json");
    fields.set("Store-Era", std::to_string(m_era));
    connection->sendResponse(status, fields, body);
}

void EmulatedStore::restoreCopy(Writers writers)
{
    m_lostObjects = std::exchange(m_objects, m_copy.objects);
    m_revision = m_copy.revision;
    m_restoredRevision = m_revision;
    m_oldestRevision = std::min(m_oldestRevision, m_revision);
    ++m_era;
    std::erase_if(m_history, [this](const Change &change) {
        return change.revision > m_revision;
    });
    for (const auto &watch : std::exchange(m_watches, {})) {
        watch->timer->cancel();
        if (const auto connection = watch->connection.lock())
            sendJson(connection, 410, "{}");
        watch->connection.reset();
    }
    if (writers == Writers::Prompt)
        writeLostObjects();
}

void EmulatedStore::writeLostObjects()
{
    const std::optional<Objects> lost = std::exchange(m_lostObjects, {});
    if (!lost)
        return;
    for (const std::string kind : {"config", "servers", "rollouts"}) {
        const auto found = lost->find(kind);
        const std::map<std::string, Object> objects = found == lost->end()
                ? std::map<std::string, Object>()
                : found->second;
        for (const auto &[name, object] : std::map(m_objects[kind])) {
            if (!objects.contains(name) && object.revision <= m_restoredRevision)
                erase(kind, name);
        }
        for (const auto &[name, object] : objects) {
            const auto known = m_objects[kind].find(name);
            const bool isKnown = known != m_objects[kind].end();
            const bool isSame = isKnown && known->second.spec == object.spec
                    && known->second.text == object.text;
            if (isSame || (isKnown && known->second.revision > m_restoredRevision))
                continue;
            m_objects[kind][name] = object;
            record(kind, name, false);
        }
    }
}

void EmulatedStore::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    m_objects[kind][name].spec = spec;
    record(kind, name, false);
}

void EmulatedStore::putText(const std::string &kind, const std::string &name,
                            const std::string &text)
{
    m_objects[kind][name].text = text;
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

bool EmulatedStore::contains(const std::string &kind, const std::string &name) const
{
    const auto found = m_objects.find(kind);
    return found != m_objects.end() && found->second.contains(name);
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
    const Target target(toStd(request.target()));
    if (!target.isValid) {
        sendJson(connection, 400, "{}");
        return;
    }
    constexpr std::size_t maxSegments = 3;
    const std::vector<std::string> &segments = target.segments;
    const bool isStatus = segments.size() == maxSegments && segments[2] == "status";
    if (m_fault == Fault::Unavailable || !target.isObjects || segments.size() > maxSegments
        || (segments.size() == maxSegments && !isStatus)) {
        sendJson(connection, m_fault == Fault::Unavailable ? 503 : 404, "{}");
        return;
    }
    const std::string name = segments.size() > 1 ? segments[1] : std::string();
    if (request.method() == beast::http::verb::get)
        serveRead(connection, segments[0], name, target.query);
    else if (isStatus)
        serveStatus(connection, segments[0], name, parseJson(request.body()).get());
    else
        serveWrite(connection, request, segments[0], name);
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
    if (revision < m_oldestRevision || revision > m_revision) {
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
    const bool creates = request.method() == beast::http::verb::post;
    const std::string target = creates ? jsonString(json_object_get(body.get(), "metadata"), "name")
                                       : name;
    if (m_refusedWrites.contains({kind, target})) {
        sendJson(connection, 503, "{}");
        return;
    }
    if (const auto delayed = m_delayedWrites.extract({kind, target})) {
        m_unanswered.push_back(connection);
        const auto timer = std::make_shared<asio::steady_timer>(m_context, delayed.mapped());
        timer->async_wait([this, timer, request, kind, target](const auto &ec) {
            if (!ec)
                executeWrite(request, kind, target);
        });
        return;
    }
    const auto [status, answer] = executeWrite(request, kind, target);
    if (status == 200 && m_answersToLose > 0) {
        --m_answersToLose;
        m_unanswered.push_back(connection);
        return;
    }
    sendJson(connection, status, answer);
}

/*!
    Executes the write \a request to the object \a target of \a kind if its condition holds. Returns
    the status and the body of the answer.
*/
std::pair<unsigned, std::string> EmulatedStore::executeWrite(const RequestMessage &request,
                                                             const std::string &kind,
                                                             const std::string &target)
{
    const JsonPtr body = parseJson(request.body());
    const bool creates = request.method() == beast::http::verb::post;
    std::map<std::string, Object> &objects = m_objects[kind];
    const auto found = objects.find(target);
    const bool exists = found != objects.end();
    const auto expected = static_cast<std::uint64_t>(
            jsonInteger(json_object_get(body.get(), "metadata"), "revision"));
    if (!creates && !exists)
        return {404, "{}"};
    if (exists && (creates || (expected != 0 && expected != found->second.revision)))
        return {409, formatObject(target, found->second)};
    if (request.method() == beast::http::verb::delete_) {
        erase(kind, target);
    } else {
        const std::string spec = dumpJson(json_object_get(body.get(), "spec"));
        // A write that changes nothing keeps the revision.
        if (!exists || found->second.spec != spec)
            put(kind, target, spec);
    }
    const auto written = objects.find(target);
    return {200, written == objects.end() ? "{}" : formatObject(target, written->second)};
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
    if (!object.text.empty())
        return object.text;
    return "{\"metadata\":{\"name\":" + quote(name)
            + ",\"revision\":" + std::to_string(object.revision)
            + ",\"created\":1,\"finalizers\":[],\"deletionPending\":false},\"spec\":"
            + (object.spec.empty() ? "null" : object.spec)
            + ",\"status\":" + (object.status.empty() ? "null" : object.status) + "}";
}

} // namespace sesame
