#include "Node/backendmonitor.h"

#include "Adapter/backendclient.h"
#include "Adapter/jsonlist.h"
#include "Adapter/log.h"

namespace sesame {

namespace {

constexpr unsigned noticePollsPerInstanceList = 4;
constexpr std::chrono::milliseconds pollTimeout {1000};

std::optional<LoadReport> parseLoadReport(const std::string &text)
{
    const JsonPtr body = parseJson(text);
    if (!json_is_object(body.get()))
        return std::nullopt;
    LoadReport report;
    report.incarnation = jsonInteger(body.get(), "incarnation");
    report.queued = static_cast<std::uint32_t>(jsonInteger(body.get(), "queued"));
    report.running = static_cast<std::uint32_t>(jsonInteger(body.get(), "running"));
    report.slots = static_cast<std::uint32_t>(jsonInteger(body.get(), "slots"));
    report.tokenIntervalMs = jsonNumber(body.get(), "token_ms");
    report.prefillTokensPerSecond = jsonNumber(body.get(), "prefill_tokens_per_s");
    report.leaving = jsonBool(body.get(), "leaving");
    report.age = std::chrono::milliseconds(jsonInteger(body.get(), "age_ms"));
    const json_t *models = json_object_get(body.get(), "models");
    for (std::size_t n = 0; n < json_array_size(models); ++n) {
        if (const char *name = json_string_value(json_array_get(models, n)))
            report.models.emplace_back(name);
    }
    return report;
}

std::uint64_t parseCacheBlock(const json_t *event)
{
    const json_t *block = json_object_get(event, "block");
    if (json_is_integer(block))
        return static_cast<std::uint64_t>(json_integer_value(block));
    const char *text = json_string_value(block);
    return text ? std::strtoull(text, nullptr, 16) : 0;
}

HttpCall makePollCall(const BackendView &engine, std::string_view path)
{
    return {.method = "GET",
            .url = engine.address + std::string(path),
            .headers = {},
            .body = {},
            .timeout = pollTimeout};
}

} // namespace

BackendMonitor::BackendMonitor(NodeContext &context, ModelService &models, PeerExchange &peers,
                               std::function<void()> onReclaim)
    : m_context(context), m_models(models), m_peers(peers), m_onReclaim(std::move(onReclaim)),
      m_cloud(context.settings.cloudUrl)
{
}

void BackendMonitor::pollCloud()
{
    if (const auto batch = m_cloud.fetchNotices(m_noticeSequence)) {
        m_noticeSequence = batch->sequence;
        applyNotices(*batch);
    }
    if (m_cloudPollCount++ % noticePollsPerInstanceList != 0)
        return;
    if (const auto list = m_cloud.fetchInstances()) {
        const Timestamp now = m_context.clock.now();
        m_peers.announce(m_context.backends.lock()->applyList(*list, now));
    }
}

void BackendMonitor::applyNotices(const NoticeBatch &batch)
{
    const Timestamp now = m_context.clock.now();
    for (const ReclaimNotice &notice : batch.notices) {
        m_peers.announce(
                m_context.backends.lock()->applyNotice(notice, now, m_context.clock.wallMillis()));
        const bool wholeZone = notice.instance.empty() && notice.zone == m_context.settings.zone;
        const bool current = notice.deadline > m_context.clock.wallMillis();
        if (current && (wholeZone || notice.instance == m_context.settings.instance))
            m_onReclaim();
    }
}

void BackendMonitor::pollEngines()
{
    for (const BackendView &engine : m_context.backends.lock()->engines(m_context.clock.now())) {
        {
            const std::lock_guard lock(m_pollMutex);
            // A slow engine has one query at a time, so that its queries do not fill the queue of
            // the control workers.
            if (std::exchange(m_pollsInProgress[engine.id], true))
                continue;
        }
        m_context.controlWorkers.submit([this, engine] {
            pollEngine(engine);
            const std::lock_guard lock(m_pollMutex);
            m_pollsInProgress[engine.id] = false;
        });
    }
}

void BackendMonitor::pollEngine(const BackendView &engine)
{
    const BackendReply reply = callBackend(makePollCall(engine, "/v1/load"));
    const Timestamp now = m_context.clock.now();
    const auto report = reply.status == CallStatus::Replied ? parseLoadReport(reply.reply.body)
                                                            : std::nullopt;
    if (!report) {
        m_context.backends.lock()->recordHealth(engine.id, HealthResult::Failure, now);
        return;
    }
    const auto rumour = m_context.backends.lock()->applyReport(engine.id, *report, now);
    if (rumour)
        m_peers.announce(std::span(&*rumour, 1));
    pollCacheEvents(engine);
}

void BackendMonitor::pollCacheEvents(const BackendView &engine)
{
    std::int64_t after = 0;
    {
        const std::lock_guard lock(m_pollMutex);
        after = m_cacheEventSequences[engine.id];
    }
    const BackendReply reply = callBackend(
            makePollCall(engine, "/v1/cache_events?after=" + std::to_string(after)));
    if (reply.status != CallStatus::Replied)
        return;
    const auto list = parseJsonList(reply.reply.body, "events");
    if (!list)
        return;
    std::vector<CacheEvent> events;
    for (const JsonPtr &event : list->elements)
        events.push_back(
                {.sequence = static_cast<std::uint64_t>(jsonInteger(event.get(), "sequence")),
                 .block = parseCacheBlock(event.get()),
                 .added = jsonString(event.get(), "op") == "add"});
    m_context.router.lock()->applyCacheEvents(engine.id, events, m_context.clock.now());
    const std::lock_guard lock(m_pollMutex);
    m_cacheEventSequences[engine.id] = jsonInteger(list->members.get(), "sequence", after);
}

} // namespace sesame
