#include "Core/Waiting/requestqueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Factor by which the predicted wait of a new request is taken as longer. A request that is
//! refused after a wait is worse off than one that is refused at once.
constexpr double offerSafetyFactor = 3.0;
//! Precedence of requests that miss their aim: after those of all ranks.
constexpr int latePrecedence = 1000;
//! Time constant of the usage by which accounts are compared. A node sends few requests per account
//! and second, so that a shorter time would compare chance.
constexpr double usageSeconds = 5.0;
//! Bound on the excess of an account's usage over the mean.
constexpr double maxExcessUsage = 4.0;
//! Later requests that may be dispatched before a request until it is treated as overtaken.
constexpr int maxOvertaken = 16;
//! One of this many dispatches goes to the request that was overtaken most often. The others keep
//! the order, so that the requests of a burst, which are overtaken by design, gain little.
constexpr int overtakenInterval = 8;
//! Range of the announced times. A node learns of free places only some tens of milliseconds
//! later; predictions for more than seconds are worth little.
constexpr Duration minReturnTime = 20ms;
constexpr Duration maxReturnTime = 4s;
//! Part of the time until a request would miss its aim within which its caller should return, so
//! that it can wait again.
constexpr double returnSlackShare = 0.7;
//! Part of an announced time by which returning callers are spread.
constexpr double returnSpread = 0.25;
//! Time by which a caller may return before the announced time and be treated as punctual, as a
//! part of the announced time.
constexpr double earlyTolerance = 0.1;
//! Time after the announced one within which a caller is treated as a returning one.
constexpr Duration returnWindow = 1s;
//! Bound on the callers that are expected to return. Beyond it, callers return as new ones.
constexpr std::size_t maxPromises = 4096;
//! Time constants of the mean number of waiting requests. It rises fast, because all nodes begin to
//! have requests waiting at the same time.
constexpr double riseSeconds = 0.2;
constexpr double fallSeconds = 1.0;
//! Age that the reports of the other nodes reach. A place that is free in them is seen so long, so
//! that only a part of the free places is taken in a shorter time.
constexpr double viewAgeSeconds = 0.2;

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

/*!
    Returns whether a request may wait for \a wait, which counts \a safety times against its aim. A
    request that misses its aim may wait only for a short time: it would take the place of one that
    meets its aim.
*/
bool RequestQueue::isInTime(const Entry &entry, Duration wait, double safety, Timestamp now)
{
    const WaitingRequest &request = entry.request;
    if (entry.isLate)
        return wait <= request.shortWait
                && now + wait + request.timeToFirstEvent <= request.lastUse;
    return now + scaled(wait, safety) + request.timeToFirstEvent <= request.aimEnd;
}

/*!
    Brings the entries into the order of service. A request counts what its account used lately and
    the waiting requests of the account before it.
*/
void RequestQueue::sort(Timestamp now)
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
    std::map<FlowKey, double> usages;
    for (Entry &entry : m_entries) {
        const FlowKey key(entry.request.rank, entry.request.account);
        const auto [usage, isFirst] = usages.try_emplace(key, 0.0);
        if (isFirst)
            usage->second = usageOf(key, now);
        entry.usage = usage->second;
        usage->second += entry.request.cost;
    }
    std::stable_sort(m_entries.begin(), m_entries.end(), [&](const Entry &a, const Entry &b) {
        return std::tuple(group(a), a.usage) < std::tuple(group(b), b.usage);
    });
}

double RequestQueue::usageOf(const FlowKey &flow, Timestamp now) const
{
    const auto found = m_usages.find(flow);
    if (found == m_usages.end())
        return 0.0;
    const std::chrono::duration<double> elapsed = now - found->second.last;
    return found->second.cost * std::exp(-elapsed.count() / usageSeconds);
}

void RequestQueue::recordDirect(int rank, const std::string &account, double cost, Timestamp now)
{
    const FlowKey flow(rank, account);
    m_usages[flow] = {.cost = usageOf(flow, now) + cost, .last = now};
}

/*!
    Returns by how much the account of \a flow used more lately than the accounts of its rank did on
    average; 1 if it did not.
*/
double RequestQueue::excessUsage(const FlowKey &flow, Timestamp now) const
{
    if (!m_options.useFairShares)
        return 1.0;
    double sum = 0.0;
    int accounts = 0;
    const auto first = m_usages.lower_bound({flow.first, std::string()});
    for (auto usage = first; usage != m_usages.end() && usage->first.first == flow.first; ++usage) {
        sum += usageOf(usage->first, now);
        ++accounts;
    }
    return sum <= 0.0 ? 1.0 : std::clamp(usageOf(flow, now) * accounts / sum, 1.0, maxExcessUsage);
}

/*!
    Returns the expected wait of \a entry at \a position. That of an account which used more than
   the others is taken as longer by as much: the requests that will arrive from others go before it.
*/
Duration RequestQueue::predictWait(std::size_t position, const Entry &entry, Timestamp now) const
{
    const double excess = excessUsage({entry.request.rank, entry.request.account}, now);
    return m_drain.timeUntilFree(static_cast<double>(position + 1) * excess, precedence(entry),
                                 now);
}

std::size_t RequestQueue::positionOf(std::uint64_t id) const
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return entry.request.id == id;
    });
    return static_cast<std::size_t>(found - m_entries.begin());
}

WaitDecision RequestQueue::offer(const WaitingRequest &request, double random, Timestamp now)
{
    Entry entry {.request = request, .offeredAt = now, .sequence = ++m_sequence, .random = random};
    entry.origin = takePromise(entry.request, now);
    const bool isFull = m_entries.size() >= m_options.maxRequests
            || m_bytes + request.bytes > m_options.maxBytes;
    Duration wait {0};
    if (!isFull) {
        // A request that cannot meet its aim in the order of its rank waits behind all others.
        for (const bool isLate : {false, true}) {
            entry.isLate = isLate;
            m_entries.push_back(entry);
            sort(now);
            const std::size_t position = positionOf(request.id);
            Entry &added = m_entries[position];
            wait = predictWait(position, added, now);
            if (!m_options.usePrediction || isInTime(added, wait, offerSafetyFactor, now)) {
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
            .retryAfter = retryAfter(entry.request, random, now)};
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
    sort(now);
    const std::size_t selected = selectNext();
    Entry entry = m_entries[selected];
    m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(selected));
    m_bytes -= entry.request.bytes;
    for (Entry &other : m_entries)
        other.overtaken += other.sequence < entry.sequence ? 1 : 0;
    const FlowKey flow(entry.request.rank, entry.request.account);
    m_taken = {.entry = entry, .usage = usageOf(flow, now)};
    m_usages[flow] = {.cost = m_taken->usage + entry.request.cost, .last = now};
    const Duration waited = now - entry.offeredAt;
    m_drain.recordWait(entry.predictedWait, waited, true, now);
    ++m_counters.dispatched;
    m_counters.predictedSeconds += std::chrono::duration<double>(entry.predictedWait).count();
    m_counters.waitedSeconds += std::chrono::duration<double>(waited).count();
    return entry.request.id;
}

void RequestQueue::restore(Timestamp now)
{
    if (!m_taken)
        return;
    const Entry &entry = m_taken->entry;
    m_usages[{entry.request.rank, entry.request.account}] = {.cost = m_taken->usage, .last = now};
    m_bytes += entry.request.bytes;
    m_entries.push_back(entry);
    for (Entry &other : m_entries)
        other.overtaken -= other.sequence < entry.sequence ? 1 : 0;
    --m_counters.dispatched;
    m_taken.reset();
    sort(now);
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
    sort(now);
    // A request that misses its aim moves behind the others, so the order is checked again.
    bool isMoved = false;
    std::size_t position = 0;
    for (Entry &entry : m_entries) {
        if (!entry.isLate && !isInTime(entry, predictWait(position, entry, now), 1.0, now)) {
            entry.isLate = true;
            isMoved = true;
            continue;
        }
        ++position;
    }
    if (isMoved)
        sort(now);
    std::vector<ExpiredRequest> expired;
    std::vector<Entry> kept;
    kept.reserve(m_entries.size());
    for (Entry &entry : m_entries) {
        const Duration wait = m_options.usePrediction ? predictWait(kept.size(), entry, now)
                                                      : Duration::zero();
        if (isInTime(entry, wait, 1.0, now)) {
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
    // A caller that can still be served within its aim should return early enough for that.
    const Duration slack = scaled(request.aimEnd - request.timeToFirstEvent - now,
                                  returnSlackShare);
    const Duration latest = request.latestReturn - now;
    const Duration limit = std::clamp<Duration>(
            slack > minReturnTime ? std::min(slack, latest) : latest, minReturnTime, maxReturnTime);
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
                                    .until = now + announced + returnWindow,
                                    .aimEnd = request.aimEnd});
    return announced;
}

/*!
    Returns how the caller of \a request comes, and ends its announced return. The aim of the
    request is counted from the caller's first attempt.
*/
RequestQueue::Return RequestQueue::takePromise(WaitingRequest &request, Timestamp now)
{
    const auto [begin, end] = m_promises.equal_range(request.callerKey);
    auto earliest = end;
    for (auto promise = begin; promise != end; ++promise) {
        if (promise->second.until >= now
            && (earliest == end || promise->second.returnAt < earliest->second.returnAt))
            earliest = promise;
    }
    if (earliest == end)
        return Return::New;
    request.aimEnd = std::min(request.aimEnd, earliest->second.aimEnd);
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
    const auto waiting = static_cast<double>(m_entries.size());
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double timeConstant = waiting > m_meanWaiting ? riseSeconds : fallSeconds;
    m_meanWaiting += (1.0 - std::exp(-seconds / timeConstant)) * (waiting - m_meanWaiting);
    const PlaceView &view = m_drain.view();
    if (view.freePlaces <= 0 || m_entries.empty())
        return 0;
    // The other nodes are assumed to have as many requests waiting as this one has on average.
    const double allWaiting = std::max(waiting, m_meanWaiting * view.nodes);
    const double available = view.freePlaces * std::min(1.0, seconds / viewAgeSeconds);
    const double share = view.nodes > 1 ? std::min(1.0, available / allWaiting) : 1.0;
    return std::min(static_cast<std::size_t>(waiting * share + random), m_entries.size());
}

RequestQueueMetrics RequestQueue::metrics() const
{
    RequestQueueMetrics metrics = m_counters;
    for (const Entry &entry : m_entries)
        ++metrics.waiting[{entry.request.rank, entry.request.account}];
    return metrics;
}

} // namespace sesame
