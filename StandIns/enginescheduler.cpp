#include "enginescheduler.h"

#include "Adapter/systemclock.h"
#include "Core/promptblocks.h"

#include <algorithm>
#include <cstdlib>
#include <unistd.h>

namespace sesame {

namespace {

constexpr int crashExitCode = 70;
constexpr std::size_t maxRememberedCancellations = 4096;
constexpr Duration maxSleep = std::chrono::milliseconds(200);

Timestamp now()
{
    return SystemClock().now();
}

Duration toDuration(double millis)
{
    return Duration(static_cast<Duration::rep>(millis * 1000.0));
}

} // namespace

EngineScheduler::EngineScheduler(const ModelEngineOptions &options)
    : m_options(options), m_cache(options.cacheBlocks), m_thread([this] {
          run();
      })
{
}

EngineScheduler::~EngineScheduler()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

bool EngineScheduler::submit(const EngineStreamPtr &stream)
{
    const std::scoped_lock lock(m_mutex);
    if (m_cancelledKeys.contains(stream->key) || m_cancelledIds.contains(stream->key.first))
        return false;
    if (!m_streams.emplace(stream->key, stream).second)
        return false;
    stream->idleSince = now();
    m_queues[std::min<std::size_t>(stream->priority, m_queues.size() - 1)].push_back(stream);
    m_wake.notify_all();
    return true;
}

EngineStreamPtr EngineScheduler::find(const std::string &id, std::optional<std::uint64_t> attempt)
{
    const std::scoped_lock lock(m_mutex);
    if (attempt) {
        const auto it = m_streams.find({id, *attempt});
        return it == m_streams.end() ? nullptr : it->second;
    }
    auto it = m_streams.upper_bound({id, UINT64_MAX});
    if (it == m_streams.begin() || (--it)->first.first != id)
        return nullptr;
    return it->second;
}

void EngineScheduler::attach(const EngineStreamPtr &stream)
{
    const std::scoped_lock lock(m_mutex);
    ++stream->readerCount;
}

void EngineScheduler::detach(const EngineStreamPtr &stream)
{
    const std::scoped_lock lock(m_mutex);
    --stream->readerCount;
    stream->idleSince = now();
}

EngineRead EngineScheduler::read(const EngineStreamPtr &stream, std::uint64_t index, Duration wait)
{
    std::unique_lock lock(m_mutex);
    stream->changed.wait_for(lock, wait, [&] {
        return stream->nextIndex > index || !isOpen(stream->state);
    });
    if (stream->nextIndex > index)
        return {.status = EngineRead::Status::Token, .token = tokenAt(stream->prompt.hash, index)};
    if (stream->state == EngineStreamState::Finished)
        return {.status = EngineRead::Status::Finished, .token = {}};
    const bool open = isOpen(stream->state);
    return {.status = open ? EngineRead::Status::Waiting : EngineRead::Status::Lost, .token = {}};
}

CancelResult EngineScheduler::cancel(const std::string &id, std::optional<std::uint64_t> attempt)
{
    const std::scoped_lock lock(m_mutex);
    CancelResult result = CancelResult::Unknown;
    for (auto it = m_streams.lower_bound({id, 0}); it != m_streams.end(); ++it) {
        if (it->first.first != id)
            break;
        if (attempt && it->first.second != *attempt)
            continue;
        const EngineStreamPtr stream = it->second;
        const bool started = stream->state != EngineStreamState::Queued || stream->isPrefilled;
        if (isOpen(stream->state))
            finish(stream, EngineStreamState::Cancelled);
        if (result != CancelResult::AfterStart)
            result = started ? CancelResult::AfterStart : CancelResult::BeforeStart;
    }
    if (result != CancelResult::Unknown)
        return result;
    if (m_cancelledKeys.size() + m_cancelledIds.size() >= maxRememberedCancellations)
        return CancelResult::Unknown;
    if (attempt)
        m_cancelledKeys.emplace(id, *attempt);
    else
        m_cancelledIds.insert(id);
    return CancelResult::BeforeStart;
}

bool EngineScheduler::stopForExport(const EngineStreamPtr &stream)
{
    const std::scoped_lock lock(m_mutex);
    if (!isOpen(stream->state))
        return false;
    finish(stream, EngineStreamState::Exported);
    return true;
}

EngineLoad EngineScheduler::load()
{
    const std::scoped_lock lock(m_mutex);
    return m_load;
}

std::vector<EngineCacheEvent> EngineScheduler::cacheEventsAfter(std::uint64_t after)
{
    const std::scoped_lock lock(m_mutex);
    return m_cache.eventsAfter(after, now() - m_options.cacheEventDelay);
}

std::map<std::string, std::uint64_t> EngineScheduler::executionCounts()
{
    const std::scoped_lock lock(m_mutex);
    return m_executionCounts;
}

std::pair<std::uint64_t, std::uint64_t> EngineScheduler::prefillTokenCounts()
{
    const std::scoped_lock lock(m_mutex);
    return {m_computedTokens, m_cachedTokens};
}

void EngineScheduler::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const Timestamp time = now();
        produceDueTokens(time);
        startQueued(time);
        if (time >= m_nextPeriodicTasks)
            runPeriodicTasks(time);
        Timestamp until = time + maxSleep;
        if (!m_running.empty())
            until = std::min(until, m_running.begin()->first);
        m_wake.wait_until(lock, until);
    }
}

void EngineScheduler::startQueued(Timestamp now)
{
    for (auto &queue : m_queues) {
        while (!queue.empty() && m_running.size() < m_options.slotCount) {
            const EngineStreamPtr stream = queue.front();
            queue.pop_front();
            start(stream, now);
        }
    }
}

void EngineScheduler::start(const EngineStreamPtr &stream, Timestamp now)
{
    // The process has to end as in a real crash, without an orderly close of its connections.
    if (stream->prompt.crashesEngine)
        _exit(crashExitCode);
    stream->state = EngineStreamState::Running;
    if (!stream->isPrefilled)
        ++m_executionCounts[stream->key.first];
    const Duration prefill = computePrefillTime(*stream, now);
    m_running.emplace(now + prefill + toDuration(m_options.tokenMillis), stream);
}

Duration EngineScheduler::computePrefillTime(const EngineStream &stream, Timestamp now)
{
    const std::size_t hits = m_cache.useBlocks(stream.prompt.blockHashes, now);
    if (stream.isPrefilled)
        return Duration::zero();
    const std::uint64_t cachedBytes = hits * promptBlockBytes;
    const std::uint64_t bytes = std::max<std::uint64_t>(stream.prompt.byteCount, 1);
    const std::uint64_t cached = stream.prompt.tokenCount * cachedBytes / bytes;
    const std::uint64_t computed = stream.prompt.tokenCount - cached;
    m_cachedTokens += cached;
    m_computedTokens += computed;
    return toDuration(static_cast<double>(computed) * 1000.0 / m_options.prefillTokensPerSecond);
}

void EngineScheduler::produceDueTokens(Timestamp now)
{
    while (!m_running.empty() && m_running.begin()->first <= now) {
        const auto node = m_running.extract(m_running.begin());
        const EngineStreamPtr &stream = node.mapped();
        if (stream->nextIndex < stream->endIndex)
            ++stream->nextIndex;
        if (stream->nextIndex >= stream->endIndex) {
            stream->state = EngineStreamState::Finished;
            stream->idleSince = now;
        } else {
            m_running.emplace(node.key() + toDuration(m_options.tokenMillis), stream);
        }
        stream->changed.notify_all();
    }
}

void EngineScheduler::runPeriodicTasks(Timestamp now)
{
    constexpr Duration periodicTaskInterval = std::chrono::milliseconds(100);
    m_nextPeriodicTasks = now + periodicTaskInterval;
    if (now - m_load.time >= m_options.maxLoadReportAge) {
        m_load.queued = 0;
        for (const auto &queue : m_queues)
            m_load.queued += queue.size();
        m_load.running = m_running.size();
        m_load.time = now;
    }
    // A stream counts as abandoned only after its first reader had time to attach.
    constexpr Duration attachTimeout = std::chrono::seconds(1);
    std::vector<EngineStreamPtr> abandoned;
    for (const auto &[key, stream] : m_streams) {
        if (stream->readerCount == 0 && now - stream->idleSince > stream->keepTime + attachTimeout)
            abandoned.push_back(stream);
    }
    for (const EngineStreamPtr &stream : abandoned) {
        if (isOpen(stream->state))
            finish(stream, EngineStreamState::Cancelled);
        m_streams.erase(stream->key);
    }
}

void EngineScheduler::finish(const EngineStreamPtr &stream, EngineStreamState state)
{
    for (auto &queue : m_queues)
        std::erase(queue, stream);
    std::erase_if(m_running, [&stream](const auto &entry) {
        return entry.second == stream;
    });
    stream->state = state;
    stream->idleSince = now();
    stream->changed.notify_all();
    m_wake.notify_all();
}

} // namespace sesame
