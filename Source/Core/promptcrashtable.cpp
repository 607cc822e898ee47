#include "Core/promptcrashtable.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <utility>

namespace sesame {

namespace {

//! Crashes of all nodes that are kept, so that the evidence fits into a datagram.
constexpr std::size_t maxCrashes = 64;
//! Refusals that a node keeps. Each follows several crashes of engines.
constexpr std::size_t maxRefusals = 64;
//! More parts of one prompt are not examined.
constexpr std::size_t maxParts = 32;

bool contains(std::span<const std::int64_t> parts, std::int64_t part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

bool containsAll(std::span<const std::int64_t> parts, std::span<const std::int64_t> wanted)
{
    return std::all_of(wanted.begin(), wanted.end(), [&](std::int64_t part) {
        return contains(parts, part);
    });
}

bool isLaterCrash(const wire::PromptCrash &a, const wire::PromptCrash &b)
{
    return a.crashMillis > b.crashMillis;
}

/*!
    Returns the number of \a crashes, in order of time, of which each lost a request that was sent
    after the crash before it.
*/
std::size_t countSuccessiveCrashes(std::span<const wire::PromptCrash *const> crashes)
{
    std::size_t n = 0;
    std::int64_t previousMillis = 0;
    for (const wire::PromptCrash *crash : crashes) {
        if (n > 0 && crash->sentMillis <= previousMillis)
            continue;
        previousMillis = crash->crashMillis;
        ++n;
    }
    return n;
}

} // namespace

std::vector<std::int64_t> sharedPartIds(std::span<const PromptPart> parts)
{
    std::vector<std::int64_t> ids;
    for (std::size_t i = 0; i + 1 < std::min(parts.size(), maxParts + 1); ++i)
        ids.push_back(static_cast<std::int64_t>(parts[i].id));
    return ids;
}

std::string formatPartIds(std::span<const std::int64_t> parts)
{
    constexpr int hexadecimal = 16;
    std::string text;
    for (const std::int64_t part : parts) {
        std::array<char, sizeof(part) * 2> buf {};
        const auto end = std::to_chars(buf.data(), buf.data() + buf.size(),
                                       static_cast<std::uint64_t>(part), hexadecimal)
                                 .ptr;
        text += text.empty() ? "" : ",";
        text.append(buf.data(), end);
    }
    return text;
}

void mergePromptEvidence(wire::PromptEvidence &sum, const wire::PromptEvidence &part)
{
    for (const wire::PromptCrash &crash : part.crashes) {
        const bool isKnown = std::any_of(
                sum.crashes.begin(), sum.crashes.end(), [&](const wire::PromptCrash &known) {
                    return known.request == crash.request && known.engine == crash.engine;
                });
        if (!isKnown && !crash.parts.empty() && crash.parts.size() <= maxParts)
            sum.crashes.push_back(crash);
    }
    if (sum.crashes.size() > maxCrashes) {
        std::sort(sum.crashes.begin(), sum.crashes.end(), isLaterCrash);
        sum.crashes.resize(maxCrashes);
    }
    for (const auto &[id, millis] : part.answeredMillis) {
        std::int64_t &known = sum.answeredMillis[id];
        known = std::max(known, millis);
    }
    for (const wire::RefusedParts &refusal : part.refused) {
        const auto found = std::find_if(sum.refused.begin(), sum.refused.end(),
                                        [&](const wire::RefusedParts &known) {
                                            return known.parts == refusal.parts;
                                        });
        if (found != sum.refused.end())
            found->decidedMillis = std::max(found->decidedMillis, refusal.decidedMillis);
        else if (!refusal.parts.empty() && sum.refused.size() < maxRefusals)
            sum.refused.push_back(refusal);
    }
}

void PromptCrashTable::recordCrash(const wire::PromptCrash &crash, std::int64_t nowMillis)
{
    if (crash.parts.empty())
        return;
    m_ownCrashes.push_back(crash);
    if (m_ownCrashes.size() > m_options.maxReportedCrashes)
        m_ownCrashes.erase(m_ownCrashes.begin());
    wire::PromptEvidence evidence;
    evidence.crashes.push_back(crash);
    merge(evidence, nowMillis);
}

void PromptCrashTable::recordAnswer(std::span<const PromptPart> parts, std::int64_t nowMillis)
{
    for (const std::int64_t part : sharedPartIds(parts)) {
        if (m_ownAnswers.size() < m_options.maxAnsweredParts || m_ownAnswers.contains(part))
            m_ownAnswers[part] = nowMillis;
    }
}

void PromptCrashTable::merge(const wire::PromptEvidence &evidence, std::int64_t nowMillis)
{
    if (evidence.crashes.empty() && evidence.answeredMillis.empty() && evidence.refused.empty())
        return;
    mergePromptEvidence(m_known, evidence);
    removeExpired(nowMillis);
    decide(nowMillis);
}

/*!
    Returns the time of the latest answer to a prompt with \a part, or 0 if none is known.
*/
std::int64_t PromptCrashTable::answeredMillis(std::int64_t part) const
{
    const auto own = m_ownAnswers.find(part);
    const auto peers = m_known.answeredMillis.find(part);
    return std::max(own == m_ownAnswers.end() ? 0 : own->second,
                    peers == m_known.answeredMillis.end() ? 0 : peers->second);
}

/*!
    Returns the crashes with \a part since its latest answer, in order of time, without those that
    the parts of a refusal explain.
*/
std::vector<const wire::PromptCrash *> PromptCrashTable::unansweredCrashes(std::int64_t part) const
{
    const std::int64_t answered = answeredMillis(part);
    std::vector<const wire::PromptCrash *> crashes;
    for (const wire::PromptCrash &crash : m_known.crashes) {
        if (crash.crashMillis > answered && contains(crash.parts, part)
            && !isExplained(crash, part))
            crashes.push_back(&crash);
    }
    std::sort(crashes.begin(), crashes.end(), [](const auto *a, const auto *b) {
        return isLaterCrash(*b, *a);
    });
    return crashes;
}

/*!
    Returns whether \a crash is due to refused parts other than \a part.
*/
bool PromptCrashTable::isExplained(const wire::PromptCrash &crash, std::int64_t part) const
{
    return std::any_of(
            m_known.refused.begin(), m_known.refused.end(), [&](const wire::RefusedParts &refusal) {
                return !contains(refusal.parts, part) && containsAll(crash.parts, refusal.parts);
            });
}

bool PromptCrashTable::isBlamed(std::int64_t part,
                                std::span<const wire::PromptCrash *const> crashes) const
{
    std::set<std::int64_t> requests;
    for (const wire::PromptCrash *crash : crashes)
        requests.insert(crash->request);
    const std::size_t limit = answeredMillis(part) > 0 ? m_options.answeredCrashLimit
                                                       : m_options.crashLimit;
    return requests.size() >= m_options.requestLimit && countSuccessiveCrashes(crashes) >= limit;
}

/*!
    Returns the parts that all \a crashes have in common and that were not answered since the first
    of them, sorted.
*/
std::vector<std::int64_t>
PromptCrashTable::commonParts(std::span<const wire::PromptCrash *const> crashes) const
{
    std::vector<std::int64_t> common;
    for (const std::int64_t part : crashes.front()->parts) {
        const bool isCommon = std::all_of(crashes.begin(), crashes.end(), [&](const auto *crash) {
            return contains(crash->parts, part);
        });
        if (isCommon && answeredMillis(part) <= crashes.front()->crashMillis)
            common.push_back(part);
    }
    std::sort(common.begin(), common.end());
    return common;
}

void PromptCrashTable::decide(std::int64_t nowMillis)
{
    // Parts that were all answered since cannot crash engines.
    std::erase_if(m_known.refused, [&](const wire::RefusedParts &refusal) {
        return std::all_of(refusal.parts.begin(), refusal.parts.end(), [&](std::int64_t part) {
            return answeredMillis(part) > refusal.decidedMillis;
        });
    });
    std::set<std::int64_t> parts;
    for (const wire::PromptCrash &crash : m_known.crashes)
        parts.insert(crash.parts.begin(), crash.parts.end());
    for (const std::int64_t part : parts) {
        const std::vector<const wire::PromptCrash *> crashes = unansweredCrashes(part);
        if (!isBlamed(part, crashes))
            continue;
        std::vector<std::int64_t> common = commonParts(crashes);
        const bool isRefused = std::any_of(m_known.refused.begin(), m_known.refused.end(),
                                           [&](const wire::RefusedParts &refusal) {
                                               return containsAll(common, refusal.parts);
                                           });
        if (isRefused || common.empty() || m_known.refused.size() >= maxRefusals)
            continue;
        wire::RefusedParts refusal;
        refusal.parts = std::move(common);
        refusal.decidedMillis = nowMillis;
        m_known.refused.push_back(std::move(refusal));
    }
}

std::optional<Milliseconds> PromptCrashTable::refusalTime(std::span<const PromptPart> parts,
                                                          std::int64_t nowMillis) const
{
    if (m_known.refused.empty() || parts.empty())
        return std::nullopt;
    const std::vector<std::int64_t> ids = sharedPartIds(parts);
    for (const wire::RefusedParts &refusal : m_known.refused) {
        const std::int64_t remaining = refusal.decidedMillis + m_options.refusalTime.count()
                - nowMillis;
        if (remaining > 0 && containsAll(ids, refusal.parts))
            return Milliseconds(remaining);
    }
    return std::nullopt;
}

wire::PromptEvidence PromptCrashTable::ownEvidence(std::int64_t nowMillis) const
{
    wire::PromptEvidence evidence;
    for (const wire::PromptCrash &crash : m_ownCrashes) {
        if (nowMillis - crash.crashMillis < m_options.reportTime.count())
            evidence.crashes.push_back(crash);
    }
    evidence.refused = m_known.refused;
    std::map<std::int64_t, std::size_t> occurrences;
    for (const wire::PromptCrash &crash : m_known.crashes) {
        for (const std::int64_t part : crash.parts)
            ++occurrences[part];
    }
    for (const wire::RefusedParts &refusal : m_known.refused) {
        for (const std::int64_t part : refusal.parts)
            occurrences[part] += m_options.requestLimit;
    }
    for (const auto &[part, n] : occurrences) {
        const auto own = m_ownAnswers.find(part);
        if (own != m_ownAnswers.end() && n >= m_options.requestLimit)
            evidence.answeredMillis[part] = own->second;
    }
    return evidence;
}

void PromptCrashTable::removeExpired(std::int64_t nowMillis)
{
    const std::int64_t oldestMillis = nowMillis - m_options.retention.count();
    const auto isExpiredCrash = [&](const wire::PromptCrash &crash) {
        return crash.crashMillis < oldestMillis;
    };
    const auto isExpiredAnswer = [&](const auto &item) {
        return item.second < oldestMillis;
    };
    std::erase_if(m_known.crashes, isExpiredCrash);
    std::erase_if(m_ownCrashes, isExpiredCrash);
    std::erase_if(m_known.answeredMillis, isExpiredAnswer);
    std::erase_if(m_ownAnswers, isExpiredAnswer);
    std::erase_if(m_known.refused, [&](const wire::RefusedParts &refusal) {
        return refusal.decidedMillis + m_options.refusalTime.count() <= nowMillis;
    });
}

} // namespace sesame
