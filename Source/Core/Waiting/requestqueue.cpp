#include "Core/Waiting/requestqueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Factor by which the predicted wait of a new request is taken as longer. A request that is
//! refused after a wait is worse off than one that is refused at once.
constexpr double offerSafetyFactor = 1.25;
//! Precedence of requests that miss their aim: after those of all ranks.
constexpr int latePrecedence = 1000;
//! Later requests that may be dispatched before a request until it is treated as overtaken.
constexpr int maxOvertaken = 16;
//! One of this many dispatches goes to the request that was overtaken most often. The others keep
//! the order, so that the requests of a burst, which are overtaken by design, gain little.
constexpr int overtakenInterval = 8;
//! Range of the announced times. A node learns of free places only some tens of milliseconds
//! later; predictions for more than seconds are worth little.
constexpr Duration minReturnTime = 20ms;
constexpr Duration maxReturnTime = 4s;
//! Part of an announced time by which returning callers are spread.
constexpr double returnSpread = 0.25;
//! Time by which a caller may return before the announced time and be treated as punctual, as a
//! part of the announced time.
constexpr double earlyTolerance = 0.1;
//! Time after the announced one within which a caller is treated as a returning one.
constexpr Duration returnWindow = 1s;
//! Bound on the callers that are expected to return. Beyond it, callers return as new ones.
constexpr std::size_t maxPromises = 4096;
//! A node takes at most its share times two to this power of the free places.
constexpr int maxRoundsWithRoom = 8;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

std::string_view waitRefusalName(WaitRefusal refusal)
{
    switch (refusal) {
    case WaitRefusal::None:
        return "none";
    case WaitRefusal::TooLate:
        return "too_late";
    case WaitRefusal::QueueFull:
        return "queue_full";
    }
    return "none";
}

int RequestQueue::precedence(const Entry &entry)
{
    return entry.isLate ? latePrecedence : entry.request.rank;
}

bool RequestQueue::canMeetAim(const Entry &entry, Duration wait, Timestamp now)
{
    return now + wait + entry.timeToFirstEvent <= entry.request.aimEnd;
}

bool RequestQueue::isOfUse(const Entry &entry, Duration wait, Timestamp now)
{
    return now + wait + entry.timeToFirstEvent <= entry.request.lastUse;
}

/*!
    Brings the entries into the order of service. The requests of an account follow each other in
    virtual time, by the cost of those before them.
*/
void RequestQueue::sort()
{
    const auto group = [](const Entry &entry) {
        return std::tuple(precedence(entry), entry.request.rank, entry.origin);
    };
    std::sort(m_entries.begin(), m_entries.end(), [&](const Entry &a, const Entry &b) {
        return std::tuple(group(a), a.request.lastUse, a.sequence)
                < std::tuple(group(b), b.request.lastUse, b.sequence);
    });
    if (!m_options.useFairShares)
        return;
    std::map<FlowKey, double> tags;
    for (Entry &entry : m_entries) {
        const FlowKey key(entry.request.rank, entry.request.account);
        const auto [tag, isFirst] = tags.try_emplace(key, m_virtualTimes[entry.request.rank]);
        if (const auto known = m_tags.find(key); isFirst && known != m_tags.end())
            tag->second = std::max(tag->second, known->second);
        entry.startTag = tag->second;
        tag->second += entry.request.cost;
    }
    std::stable_sort(m_entries.begin(), m_entries.end(), [&](const Entry &a, const Entry &b) {
        return std::tuple(group(a), a.startTag) < std::tuple(group(b), b.startTag);
    });
}

Duration RequestQueue::predictWait(std::size_t position, const Entry &entry, Timestamp now) const
{
    return m_drain.timeUntilFree(static_cast<double>(position + 1), precedence(entry), now);
}

std::size_t RequestQueue::positionOf(std::uint64_t id) const
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return entry.request.id == id;
    });
    return static_cast<std::size_t>(found - m_entries.begin());
}

WaitDecision RequestQueue::offer(const WaitingRequest &request, const WaitEstimate &estimate,
                                 Timestamp now)
{
    Entry entry {.request = request,
                 .origin = takePromise(request.callerKey, now),
                 .timeToFirstEvent = estimate.timeToFirstEvent,
                 .offeredAt = now,
                 .sequence = ++m_sequence,
                 .random = estimate.random};
    const bool isFull = m_entries.size() >= m_options.maxRequests
            || m_bytes + request.bytes > m_options.maxBytes;
    Duration wait {0};
    if (!isFull) {
        // A request that cannot meet its aim in the order of its rank waits behind all others.
        for (const bool isLate : {false, true}) {
            entry.isLate = isLate;
            m_entries.push_back(entry);
            sort();
            const std::size_t position = positionOf(request.id);
            Entry &added = m_entries[position];
            wait = predictWait(position, added, now);
            const Duration safe = scaled(wait, offerSafetyFactor);
            if (!m_options.usePrediction
                || (isLate ? isOfUse(added, safe, now) : canMeetAim(added, safe, now))) {
                added.predictedWait = wait;
                m_bytes += request.bytes;
                m_drain.recordArrival(precedence(added), now);
                ++m_counters.accepted;
                return {.predictedWait = wait};
            }
            m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(position));
        }
    }
    ++(isFull ? m_counters.refusedFull : m_counters.refusedTooLate);
    return {.refusal = isFull ? WaitRefusal::QueueFull : WaitRefusal::TooLate,
            .predictedWait = wait,
            .retryAfter = retryAfter(request, estimate.random, now)};
}

/*!
    Returns the index of the request to dispatch: the first one, or now and then the one that was
    overtaken most often.
*/
std::size_t RequestQueue::selectNext()
{
    if (++m_dispatchesSinceOvertaken < overtakenInterval)
        return 0;
    const auto most = std::max_element(m_entries.begin(), m_entries.end(),
                                       [](const Entry &a, const Entry &b) {
                                           return a.overtaken < b.overtaken;
                                       });
    if (most->overtaken < maxOvertaken)
        return 0;
    m_dispatchesSinceOvertaken = 0;
    return static_cast<std::size_t>(most - m_entries.begin());
}

std::optional<std::uint64_t> RequestQueue::next(Timestamp now)
{
    m_taken.reset();
    if (m_entries.empty())
        return std::nullopt;
    sort();
    const std::size_t selected = selectNext();
    Entry entry = m_entries[selected];
    m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(selected));
    m_bytes -= entry.request.bytes;
    for (Entry &other : m_entries)
        other.overtaken += other.sequence < entry.sequence ? 1 : 0;
    double &tag = m_tags[{entry.request.rank, entry.request.account}];
    double &virtualTime = m_virtualTimes[entry.request.rank];
    m_taken = {.entry = entry, .tag = tag, .virtualTime = virtualTime};
    // A request that was overtaken may have a tag that lies far ahead of those of the others.
    if (selected == 0)
        virtualTime = std::max(virtualTime, entry.startTag);
    tag = std::max(tag, virtualTime) + entry.request.cost;
    const Duration waited = now - entry.offeredAt;
    m_drain.recordWait(entry.predictedWait, waited, true, now);
    ++m_counters.dispatched;
    m_counters.predictedSeconds += std::chrono::duration<double>(entry.predictedWait).count();
    m_counters.waitedSeconds += std::chrono::duration<double>(waited).count();
    return entry.request.id;
}

void RequestQueue::restore()
{
    if (!m_taken)
        return;
    const Entry &entry = m_taken->entry;
    const FlowKey key(entry.request.rank, entry.request.account);
    m_tags[key] = m_taken->tag;
    m_virtualTimes[entry.request.rank] = m_taken->virtualTime;
    m_bytes += entry.request.bytes;
    m_entries.push_back(entry);
    for (Entry &other : m_entries)
        other.overtaken -= other.sequence < entry.sequence ? 1 : 0;
    --m_counters.dispatched;
    m_taken.reset();
    sort();
}

void RequestQueue::withdraw(std::uint64_t id)
{
    const std::size_t position = positionOf(id);
    if (position == m_entries.size())
        return;
    m_bytes -= m_entries[position].request.bytes;
    m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(position));
    ++m_counters.withdrawn;
}

std::vector<ExpiredRequest> RequestQueue::expire(Timestamp now)
{
    removePromises(now);
    sort();
    // A request that misses its aim moves behind the others, so the order is checked again.
    bool isMoved = false;
    std::size_t position = 0;
    for (Entry &entry : m_entries) {
        if (!entry.isLate && !canMeetAim(entry, predictWait(position, entry, now), now)) {
            entry.isLate = true;
            isMoved = true;
            continue;
        }
        ++position;
    }
    if (isMoved)
        sort();
    std::vector<ExpiredRequest> expired;
    std::vector<Entry> kept;
    kept.reserve(m_entries.size());
    for (Entry &entry : m_entries) {
        const Duration wait = m_options.usePrediction ? predictWait(kept.size(), entry, now)
                                                      : Duration::zero();
        if (isOfUse(entry, wait, now)) {
            kept.push_back(std::move(entry));
            continue;
        }
        const Duration waited = now - entry.offeredAt;
        m_drain.recordWait(entry.predictedWait, waited, false, now);
        m_bytes -= entry.request.bytes;
        ++m_counters.expired;
        expired.push_back({.id = entry.request.id,
                           .waited = waited,
                           .retryAfter = promise(entry.request, wait, entry.random, now)});
    }
    m_entries = std::move(kept);
    return expired;
}

std::vector<std::uint64_t> RequestQueue::clear()
{
    std::vector<std::uint64_t> ids;
    for (const Entry &entry : m_entries)
        ids.push_back(entry.request.id);
    m_entries.clear();
    m_bytes = 0;
    return ids;
}

Duration RequestQueue::retryAfter(const WaitingRequest &request, double random, Timestamp now)
{
    const auto ahead = std::count_if(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return precedence(entry) <= request.rank;
    });
    const Duration wait = m_drain.timeUntilFree(static_cast<double>(ahead + 1), request.rank, now);
    return promise(request, wait, random, now);
}

/*!
    Announces a time of return after \a wait or later: one place after the last announced return of
    the callers of the same and of more urgent ranks.
*/
Duration RequestQueue::promise(const WaitingRequest &request, Duration wait, double random,
                               Timestamp now)
{
    Timestamp returnAt = now + wait;
    const auto step = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(1.0 / m_drain.placesPerSecond()));
    for (const auto &[rank, last] : m_lastReturns) {
        if (rank <= request.rank)
            returnAt = std::max(returnAt, last + step);
    }
    const Duration limit = std::clamp<Duration>(request.latestReturn - now, minReturnTime,
                                                maxReturnTime);
    const Duration time = std::clamp<Duration>(returnAt - now, minReturnTime, limit);
    m_lastReturns[request.rank] = now + time;
    // Callers that would all return at the limit are spread before it, the others after the time
    // at which there is a place.
    const Duration spread = time == limit ? scaled(time, 1.0 - returnSpread * random)
                                          : scaled(time, 1.0 + returnSpread * random);
    const Duration announced = std::clamp<Duration>(spread, minReturnTime, limit);
    if (request.callerKey != 0 && m_promises.size() < maxPromises)
        m_promises.emplace(request.callerKey,
                           Promise {.returnAt = now + scaled(announced, 1.0 - earlyTolerance),
                                    .until = now + announced + returnWindow});
    return announced;
}

/*!
    Returns how the caller \a callerKey comes, and ends its announced return.
*/
RequestQueue::Return RequestQueue::takePromise(std::uint64_t callerKey, Timestamp now)
{
    const auto [begin, end] = m_promises.equal_range(callerKey);
    auto earliest = end;
    for (auto promise = begin; promise != end; ++promise) {
        if (promise->second.until >= now
            && (earliest == end || promise->second.returnAt < earliest->second.returnAt))
            earliest = promise;
    }
    if (earliest == end)
        return Return::New;
    const bool isEarly = now < earliest->second.returnAt;
    m_promises.erase(earliest);
    return isEarly ? Return::Early : Return::Announced;
}

void RequestQueue::removePromises(Timestamp now)
{
    std::erase_if(m_promises, [&](const auto &item) {
        return item.second.until < now;
    });
}

std::size_t RequestQueue::takeFreePlaces(double random, Duration elapsed)
{
    const PlaceView &view = m_drain.view();
    if (view.freePlaces <= 0 || m_entries.empty()) {
        m_roundsWithRoom = 0;
        return 0;
    }
    // Places that become free until the next call, if some were free now.
    const double expected = m_drain.totalPlacesPerSecond()
            * std::chrono::duration<double>(elapsed).count();
    const double all = static_cast<double>(view.freePlaces) + expected;
    // If places stay free, fewer nodes than all compete for them.
    const double share = std::exp2(m_roundsWithRoom) / static_cast<double>(std::max(view.nodes, 1));
    m_roundsWithRoom = std::min(m_roundsWithRoom + 1, maxRoundsWithRoom);
    const double places = all * std::min(share, 1.0);
    return std::min(static_cast<std::size_t>(places + random), m_entries.size());
}

RequestQueueMetrics RequestQueue::metrics() const
{
    RequestQueueMetrics metrics = m_counters;
    for (const Entry &entry : m_entries)
        ++metrics.waiting[{entry.request.rank, entry.request.account}];
    return metrics;
}

} // namespace sesame
