#include "cloud.h"

#include "Adapter/sesameadapter.h"
#include "Core/sesamecore.h"

#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>

namespace sesame {

namespace {

using Milliseconds = std::chrono::milliseconds;
using Instances = std::map<std::string, ListedInstance>;

constexpr Milliseconds maxListLag {60000};
constexpr std::int64_t defaultNoticeSeconds = 30;

struct ListSnapshot
{
    Timestamp time; //!< Time from which the list had this content.
    Instances instances;
};

HttpResponse makeResponse(int status, const JsonPtr &body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = dumpJson(body.get()),
            .bodyReader = {},
            .closedHandler = {}};
}

HttpResponse makeResponse(int status)
{
    return makeResponse(status, JsonPtr(json_object()));
}

class Cloud
{
public:
    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse list();
    HttpResponse listNotices(std::int64_t after);
    HttpResponse start(const json_t *order);
    HttpResponse stop(const std::string &id);
    HttpResponse registerInstances(const json_t *body);
    HttpResponse announceReclaim(const json_t *body);
    HttpResponse setFaults(const json_t *body);
    void removeReclaimed();
    void recordHistory(Timestamp now);

    SystemClock m_clock;
    std::mutex m_mutex;
    Instances m_instances;
    std::deque<ListSnapshot> m_history;
    std::vector<ReclaimNotice> m_notices;
    std::map<std::string, WallMillis> m_deadlines; //!< Reclaim deadline by instance id.
    std::map<std::string, std::string> m_startedByToken; //!< Instance id by client token.
    std::int64_t m_startCount = 0;
    Milliseconds m_listLag {0};
    bool m_refuseStarts = false;
    std::string m_refusedZone; //!< Zone in which starts are refused.
    std::string m_refusedMarket; //!< Market in which starts are refused.
    std::int64_t m_answersToLose = 0; //!< Number of starts to execute without an answer.
};

HttpResponse Cloud::handle(const HttpRequest &request)
{
    const std::scoped_lock lock(m_mutex);
    removeReclaimed();
    const JsonPtr body = parseJson(request.body);
    if (request.path == "/v1/instances" && request.method == "GET")
        return list();
    if (request.path == "/v1/instances" && request.method == "POST")
        return start(body.get());
    if (request.path == "/v1/instances" && request.method == "DELETE")
        return stop(request.query("id").value_or(""));
    if (request.path == "/v1/notices")
        return listNotices(std::atoll(request.query("after").value_or("0").c_str()));
    if (request.path == "/control/instances")
        return registerInstances(body.get());
    if (request.path == "/control/notice")
        return announceReclaim(body.get());
    if (request.path == "/control")
        return setFaults(body.get());
    return makeResponse(404);
}

HttpResponse Cloud::list()
{
    const Timestamp visibleTime = m_clock.now() - m_listLag;
    JsonPtr body(json_object());
    json_t *array = json_array();
    json_object_set_new(body.get(), "instances", array);
    const ListSnapshot *snapshot = nullptr;
    for (const ListSnapshot &it : m_history) {
        if (it.time <= visibleTime)
            snapshot = &it;
    }
    if (snapshot) {
        for (const auto &[id, instance] : snapshot->instances)
            json_array_append_new(array, toJson(instance).release());
    }
    return makeResponse(200, body);
}

HttpResponse Cloud::listNotices(std::int64_t after)
{
    JsonPtr body(json_object());
    const auto sequence = static_cast<std::int64_t>(m_notices.size());
    json_object_set_new(body.get(), "sequence", json_integer(sequence));
    json_t *array = json_array();
    json_object_set_new(body.get(), "notices", array);
    for (const ReclaimNotice &it : m_notices) {
        if (it.sequence <= after)
            continue;
        json_t *notice = json_object();
        json_object_set_new(notice, "sequence", json_integer(it.sequence));
        json_object_set_new(notice, "instance", json_string(it.instance.c_str()));
        json_object_set_new(notice, "zone", json_string(it.zone.c_str()));
        json_object_set_new(notice, "deadline_unix_ms", json_integer(it.deadline));
        json_array_append_new(array, notice);
    }
    return makeResponse(200, body);
}

HttpResponse Cloud::start(const json_t *order)
{
    const std::string token = jsonString(order, "client_token");
    const auto market = parseMarket(jsonString(order, "market"));
    if (token.empty() || !market)
        return makeResponse(400);
    // A repeated order gets the same answer as the first one, even while starts are refused.
    auto it = m_startedByToken.find(token);
    if (it == m_startedByToken.end()) {
        const std::string zone = jsonString(order, "zone");
        if (m_refuseStarts || zone == m_refusedZone
            || jsonString(order, "market") == m_refusedMarket)
            return makeResponse(409);
        const std::string id = "started-" + std::to_string(++m_startCount);
        m_instances[id] = ListedInstance {.id = id,
                                          .incarnation = m_clock.wallMillis(),
                                          .className = jsonString(order, "class"),
                                          .service = {},
                                          .address = {},
                                          .zone = jsonString(order, "zone"),
                                          .market = *market};
        recordHistory(m_clock.now());
        it = m_startedByToken.emplace(token, id).first;
    }
    JsonPtr body(json_object());
    json_object_set_new(body.get(), "id", json_string(it->second.c_str()));
    HttpResponse response = makeResponse(200, body);
    response.abortsConnection = m_answersToLose > 0;
    m_answersToLose -= response.abortsConnection ? 1 : 0;
    return response;
}

HttpResponse Cloud::stop(const std::string &id)
{
    if (m_instances.erase(id) == 0)
        return makeResponse(404);
    recordHistory(m_clock.now());
    return makeResponse(200);
}

HttpResponse Cloud::registerInstances(const json_t *body)
{
    const json_t *list = json_object_get(body, "instances");
    if (!json_is_array(list))
        return makeResponse(400);
    for (std::size_t n = 0; n < json_array_size(list); ++n) {
        const auto instance = instanceFromJson(json_array_get(list, n));
        if (!instance)
            return makeResponse(400);
        m_instances[instance->id] = *instance;
        m_deadlines.erase(instance->id);
    }
    recordHistory(m_clock.now());
    return makeResponse(200);
}

HttpResponse Cloud::announceReclaim(const json_t *body)
{
    const std::string zone = jsonString(body, "zone");
    const std::string id = jsonString(body, "instance");
    const std::int64_t seconds = jsonInteger(body, "seconds", defaultNoticeSeconds);
    const WallMillis deadline = m_clock.wallMillis() + seconds * 1000;
    for (auto &[name, instance] : m_instances) {
        if (name != id && (zone.empty() || instance.zone != zone))
            continue;
        instance.leaving = true;
        m_deadlines[name] = deadline;
        m_notices.push_back({.sequence = static_cast<std::int64_t>(m_notices.size()) + 1,
                             .instance = name,
                             .zone = instance.zone,
                             .deadline = deadline});
    }
    recordHistory(m_clock.now());
    return makeResponse(200);
}

HttpResponse Cloud::setFaults(const json_t *body)
{
    const std::int64_t lag = jsonInteger(body, "list_lag_ms", m_listLag.count());
    if (lag < 0 || lag > maxListLag.count())
        return makeResponse(400);
    m_listLag = Milliseconds(lag);
    m_refuseStarts = jsonBool(body, "refuse_starts", m_refuseStarts);
    m_refusedZone = jsonString(body, "refuse_zone", m_refusedZone);
    m_refusedMarket = jsonString(body, "refuse_market", m_refusedMarket);
    m_answersToLose = jsonInteger(body, "lose_answers", m_answersToLose);
    return makeResponse(200);
}

void Cloud::removeReclaimed()
{
    const WallMillis now = m_clock.wallMillis();
    WallMillis lastDeadline = 0;
    std::erase_if(m_deadlines, [&](const auto &entry) {
        if (entry.second > now)
            return false;
        if (m_instances.erase(entry.first) > 0)
            lastDeadline = std::max(lastDeadline, entry.second);
        return true;
    });
    // The removal runs with the next request, but the lag of the list counts from the deadline.
    if (lastDeadline > 0)
        recordHistory(m_clock.now() - Milliseconds(now - lastDeadline));
}

void Cloud::recordHistory(Timestamp now)
{
    m_history.push_back({.time = now, .instances = m_instances});
    while (m_history.size() > 1 && m_history[1].time < now - maxListLag)
        m_history.pop_front();
}

} // namespace

int runCloud(const CloudOptions &options)
{
    // The signals are blocked before the server starts, so that its threads inherit the mask.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Cloud cloud;
    const auto server = HttpServer::start({.address = options.address},
                                          [&cloud](const HttpRequest &request) {
                                              return cloud.handle(request);
                                          });
    if (!server) {
        std::cerr << lastReason().text << '\n';
        return 1;
    }
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace sesame
