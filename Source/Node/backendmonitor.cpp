#include "Node/backendmonitor.h"

#include "Adapter/backendclient.h"
#include "Adapter/json.h"
#include "Adapter/log.h"

namespace sesame {

namespace {

constexpr unsigned noticePollsPerList = 4;
constexpr std::chrono::milliseconds pollTimeout {1000};

std::optional<LoadReport> parseReport(const std::string &text)
{
    const JsonPtr body = parseJson(text);
    if (!json_is_object(body.get()))
        return std::nullopt;
    LoadReport report;
    report.incarnation = jsonInteger(body.get(), "incarnation");
    report.queued = static_cast<std::uint32_t>(jsonInteger(body.get(), "queued"));
    report.running = static_cast<std::uint32_t>(jsonInteger(body.get(), "running"));
    report.slots = static_cast<std::uint32_t>(jsonInteger(body.get(), "slots"));
    report.tokenMillis = jsonNumber(body.get(), "token_ms");
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

std::uint64_t parseBlock(const json_t *event)
{
    const json_t *block = json_object_get(event, "block");
    if (json_is_integer(block))
        return static_cast<std::uint64_t>(json_integer_value(block));
    const char *text = json_string_value(block);
    return text ? std::strtoull(text, nullptr, 16) : 0;
}

HttpCall makePoll(const BackendView &engine, std::string_view path)
{
    return {.method = "GET",
            .url = engine.address + std::string(path),
            .headers = {},
            .body = {},
            .timeout = pollTimeout};
}

} // namespace

BackendMonitor::BackendMonitor(NodeContext &context, ModelService &models, PeerExchange &peers,
                               std::function<void()> reclaimed)
    : m_context(context), m_models(models), m_peers(peers), m_reclaimed(std::move(reclaimed)),
      m_cloud(context.settings.cloudUrl)
{
}

void BackendMonitor::pollCloud()
{
    if (const auto batch = m_cloud.fetchNotices(m_noticeSequence)) {
        m_noticeSequence = batch->sequence;
        applyNotices(*batch);
    }
    if (m_cloudPolls++ % noticePollsPerList != 0)
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
            m_reclaimed();
    }
}

void BackendMonitor::pollEngines()
{
    for (const BackendView &engine : m_context.backends.lock()->engines(m_context.clock.now())) {
        {
            const std::lock_guard lock(m_cacheMutex);
            // A slow engine must not collect queries in the queue of the control workers.
            if (std::exchange(m_polling[engine.id], true))
                continue;
        }
        m_context.controlWorkers.submit([this, engine] {
            pollEngine(engine);
            const std::lock_guard lock(m_cacheMutex);
            m_polling[engine.id] = false;
        });
    }
}

void BackendMonitor::pollEngine(const BackendView &engine)
{
    const BackendReply reply = callBackend(makePoll(engine, "/v1/load"));
    const Timestamp now = m_context.clock.now();
    const auto report = reply.status == CallStatus::Replied ? parseReport(reply.reply.body)
                                                            : std::nullopt;
    if (!report) {
        m_context.backends.lock()->recordHealth(engine.id, CallHealth::Bad, now);
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
        const std::lock_guard lock(m_cacheMutex);
        after = m_cacheSequences[engine.id];
    }
    const BackendReply reply = callBackend(
            makePoll(engine, "/v1/cache_events?after=" + std::to_string(after)));
    if (reply.status != CallStatus::Replied)
        return;
    const JsonPtr body = parseJson(reply.reply.body);
    const json_t *list = json_object_get(body.get(), "events");
    std::vector<CacheEvent> events;
    for (std::size_t n = 0; n < json_array_size(list); ++n) {
        const json_t *event = json_array_get(list, n);
        events.push_back({.sequence = static_cast<std::uint64_t>(jsonInteger(event, "sequence")),
                          .block = parseBlock(event),
                          .added = jsonString(event, "op") == "add"});
    }
    m_context.router.lock()->applyCacheEvents(engine.id, events, m_context.clock.now());
    const std::lock_guard lock(m_cacheMutex);
    m_cacheSequences[engine.id] = jsonInteger(body.get(), "sequence", after);
}

} // namespace sesame
