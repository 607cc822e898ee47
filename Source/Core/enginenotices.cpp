#include "Core/enginenotices.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sesame {

namespace {

constexpr int unlimitedRequests = std::numeric_limits<int>::max();

} // namespace

EngineNotices::Notice &EngineNotices::noticeOf(const EngineBoot &engine, Timestamp now)
{
    auto found = m_notices.find(engine.id);
    if (found == m_notices.end()) {
        if (m_notices.size() >= m_options.maxEngines)
            m_notices.erase(std::min_element(m_notices.begin(), m_notices.end(),
                                             [](const auto &a, const auto &b) {
                                                 return a.second.recordedAt < b.second.recordedAt;
                                             }));
        found = m_notices.emplace(engine.id, Notice {.incarnation = engine.incarnation}).first;
    }
    if (found->second.incarnation != engine.incarnation)
        found->second = {.incarnation = engine.incarnation};
    found->second.recordedAt = now;
    return found->second;
}

const EngineNotices::Notice *EngineNotices::find(const EngineBoot &engine) const
{
    const auto found = m_notices.find(engine.id);
    return found != m_notices.end() && found->second.incarnation == engine.incarnation
            ? &found->second
            : nullptr;
}

bool EngineNotices::recordLeaving(const EngineBoot &engine, Timestamp now)
{
    return !std::exchange(noticeOf(engine, now).isLeaving, true);
}

Duration EngineNotices::recordPause(const EngineBoot &engine, Duration wait, double random,
                                    Timestamp now)
{
    if (wait <= Duration::zero())
        return Duration::zero();
    const Duration kept = std::min(wait, m_options.maxPause);
    const Duration spread = std::clamp(
            std::chrono::duration_cast<Duration>(kept * m_options.returnSpread),
            m_options.minReturnSpread, m_options.maxReturnSpread);
    Notice &notice = noticeOf(engine, now);
    const Timestamp until = now + kept + std::chrono::duration_cast<Duration>(spread * random);
    notice.asked = wait;
    notice.until = std::max(notice.until, until);
    notice.requests = m_options.firstRequests;
    return notice.until - now;
}

void EngineNotices::recordAnswer(const EngineBoot &engine, Timestamp now)
{
    const auto found = m_notices.find(engine.id);
    if (found == m_notices.end() || found->second.incarnation != engine.incarnation)
        return;
    Notice &notice = found->second;
    // Requests that were sent before the pause may be answered during it.
    if (notice.requests == 0 || now < notice.until)
        return;
    notice.requests *= 2;
    if (notice.requests < m_options.fullRequests)
        return;
    notice.requests = 0;
    if (!notice.isLeaving)
        m_notices.erase(found);
}

int EngineNotices::requestLimit(const EngineBoot &engine, Timestamp now) const
{
    const Notice *notice = find(engine);
    if (!notice)
        return unlimitedRequests;
    if (notice->isLeaving || now < notice->until)
        return 0;
    return notice->requests > 0 ? notice->requests : unlimitedRequests;
}

std::optional<EngineNotices::Withholding> EngineNotices::withholding(const EngineBoot &engine,
                                                                     Timestamp now) const
{
    const Notice *notice = find(engine);
    if (!notice || (!notice->isLeaving && now >= notice->until))
        return std::nullopt;
    return Withholding {.isLeaving = notice->isLeaving,
                        .asked = notice->asked,
                        .askedAt = notice->recordedAt,
                        .until = notice->until};
}

} // namespace sesame
