#include "Core/admissioncontroller.h"

#include "Core/invariant.h"
#include "Core/lastreason.h"

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

constexpr double rateWindowSeconds = 10.0; // Decay time of the measured arrival rates.
constexpr double serviceDecay = 0.98; // Per finished item: about the last 50 items count.
constexpr double borrowDecay = 0.9; // Borrowed slots given back per report without free slots.
constexpr double shortestMeasure = 1.0; // Seconds with waiting work that give a usable rate.
constexpr double lowestRate = 0.01; // Share of the service assumed for a rank without a floor.
constexpr Duration shortestRetry = std::chrono::milliseconds(100);
constexpr Duration longestRetry = std::chrono::seconds(60);

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

Duration fromSeconds(double s)
{
    return Duration(static_cast<std::int64_t>(std::min(s, 1e6) * 1e6));
}

std::size_t indexOf(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

} // namespace

AdmissionController::AdmissionController(AdmissionOptions options) : m_options(options) { }

double AdmissionController::costOf(const WorkItem &item, std::uint32_t outputTokens) const
{
    return 1.0 + item.promptTokens * m_options.promptTokenWeight + outputTokens;
}

AdmissionController::Pool &AdmissionController::poolFor(std::string_view name)
{
    const auto it = m_pools.find(name);
    if (it != m_pools.end())
        return it->second;
    return m_pools.emplace(std::string(name), Pool {}).first->second;
}

const AdmissionController::Pool *AdmissionController::findPool(std::string_view name) const
{
    const auto it = m_pools.find(name);
    return it == m_pools.end() ? nullptr : &it->second;
}

void AdmissionController::setCapacity(std::string_view name, const PoolCapacity &capacity)
{
    Pool &pool = poolFor(name);
    pool.liveNodes = std::max(1U, capacity.liveNodes);
    const std::uint32_t share = (capacity.fleetSlots + pool.liveNodes - 1) / pool.liveNodes;
    const std::uint32_t borrow = (capacity.fleetFree + pool.liveNodes - 1) / pool.liveNodes;
    std::uint32_t limit = pool.inFlight + borrow;
    // Without free slots, borrowed ones go back gradually, or a node at its limit keeps them
    // forever.
    if (borrow == 0 && pool.inFlight > share)
        limit = share + static_cast<std::uint32_t>((pool.inFlight - share) * borrowDecay);
    pool.limit = std::min(std::max(share, limit), std::max(share, capacity.fleetSlots));
}

/*!
    Lets the measured rates age until \a now.
*/
void AdmissionController::advance(Pool &pool, Timestamp now)
{
    const double elapsed = seconds(now - pool.advancedAt);
    pool.advancedAt = std::max(pool.advancedAt, now);
    if (elapsed <= 0.0)
        return;
    const double factor = std::exp(-elapsed / rateWindowSeconds);
    bool waits = false;
    for (RankQueue &queue : pool.ranks) {
        queue.arrivalCost *= factor;
        waits = waits || queue.waiting > 0;
    }
    if (!waits)
        return;
    pool.busyCost *= factor;
    pool.busySeconds = pool.busySeconds * factor + elapsed;
}

/*!
    Returns the cost per second that this node's slots serve: as measured while work
    waited, or from the mean cost per slot-second if that happened too seldom. The slots
    alone are not enough, because the engines do not always have room for all of them.
*/
double AdmissionController::serviceRate(const Pool &pool, Rank rank) const
{
    if (pool.busySeconds > shortestMeasure)
        return pool.busyCost / pool.busySeconds;
    if (pool.servedSeconds <= 0.0)
        return 0.0;
    const double usable = std::max(1.0, pool.limit * (1.0 - m_options.headroom[indexOf(rank)]));
    return pool.servedCost / pool.servedSeconds * usable;
}

/*!
    Returns the cost in the rank of \a item that fair sharing serves before a new item.
*/
double AdmissionController::rankWorkAhead(const Pool &pool, const WorkItem &item) const
{
    const RankQueue &queue = pool.ranks[indexOf(item.rank)];
    if (!m_options.fairShares)
        return queue.backlog;
    const auto own = queue.accounts.find(item.account);
    double start = queue.virtualTime;
    if (own != queue.accounts.end())
        start = std::max(start, own->second.counter + own->second.backlog / item.accountShare);
    double sum = 0.0;
    for (const auto &[name, account] : queue.accounts) {
        const double before = std::max(0.0, start - account.counter) * account.share;
        sum += std::min(account.backlog, before);
    }
    return sum;
}

/*!
    A rank is served after the ranks above it, or by its floor, whichever comes first.
*/
Duration AdmissionController::expectedWait(const WorkItem &item) const
{
    const Pool *pool = findPool(item.pool);
    if (!pool)
        return Duration(0);
    const std::size_t rank = indexOf(item.rank);
    const double own = rankWorkAhead(*pool, item);
    const double usable = std::max(1.0, pool->limit * (1.0 - m_options.headroom[rank]));
    const double total = serviceRate(*pool, item.rank);
    if (total <= 0.0)
        return Duration(0);
    double ahead = own;
    double rate = total;
    for (std::size_t r = 0; r < rankCount; ++r) {
        if (r < rank) {
            ahead += pool->ranks[r].backlog;
            rate -= pool->ranks[r].arrivalCost / rateWindowSeconds;
        } else if (r > rank && pool->ranks[r].waiting > 0) {
            rate -= m_options.ranks[r].floorShare * total;
        }
    }
    if (ahead <= 0.0 && pool->inFlight + 1.0 <= usable)
        return Duration(0);
    const double inTurn = ahead / std::max(rate, total * lowestRate);
    const double floorRate = m_options.ranks[rank].floorShare * total;
    if (floorRate <= 0.0)
        return fromSeconds(inTurn);
    return fromSeconds(std::min(inTurn, (own + costOf(item, item.outputTokens)) / floorRate));
}

/*!
    An account below its part of the queue is accepted even when others fill the queue,
    so a flood from one caller does not shut out the rest.
*/
bool AdmissionController::isQueueFull(const Pool &pool, const WorkItem &item) const
{
    const RankQueue &queue = pool.ranks[indexOf(item.rank)];
    const std::size_t limit = std::max<std::size_t>(1, m_options.queueItems / pool.liveNodes);
    if (queue.waiting < limit)
        return false;
    if (!m_options.fairShares)
        return true;
    const auto own = queue.accounts.find(item.account);
    const std::size_t mine = own == queue.accounts.end() ? 0 : own->second.tickets.size();
    std::size_t active = mine == 0 ? 1 : 0;
    for (const auto &[name, account] : queue.accounts)
        active += account.tickets.empty() ? 0 : 1;
    return mine >= std::max<std::size_t>(1, limit / active);
}

std::optional<Ticket> AdmissionController::submit(const WorkItem &item, Timestamp now)
{
    Pool &pool = poolFor(item.pool);
    advance(pool, now);
    RankQueue &queue = pool.ranks[indexOf(item.rank)];
    const Duration wait = expectedWait(item);
    const auto refuse = [&](ResultCode code, Duration excess, const char *text) {
        m_retryAfter = std::clamp(excess, shortestRetry, longestRetry);
        return fail(code, item.pool + ": " + text);
    };
    if (isQueueFull(pool, item))
        return refuse(ResultCode::Overloaded, wait, "queue is full");
    if (m_options.earlyRefusal) {
        const Duration limit = m_options.ranks[indexOf(item.rank)].queueLimit;
        if (wait > limit)
            return refuse(ResultCode::Overloaded, wait - limit, "expected wait exceeds the limit");
        const Timestamp first = now + wait + item.prefillTime;
        if (item.deadline && first > *item.deadline)
            return refuse(ResultCode::DeadlineUnreachable, first - *item.deadline,
                          "expected first token is past the deadline");
    }
    const Ticket ticket = ++m_lastTicket;
    const double cost = costOf(item, item.outputTokens);
    AccountQueue &account = queue.accounts[item.account];
    account.share = item.accountShare;
    // An idle account keeps no claim on the time it did not use.
    if (account.tickets.empty())
        account.counter = std::max(account.counter, queue.virtualTime);
    account.tickets.push_back(ticket);
    account.backlog += cost;
    queue.backlog += cost;
    queue.arrivalCost += cost;
    ++queue.waiting;
    m_entries.emplace(ticket, Entry {.item = item, .cost = cost});
    return ticket;
}

AdmissionController::AccountQueue *AdmissionController::pickAccount(RankQueue &queue, bool fair)
{
    AccountQueue *best = nullptr;
    for (auto &[name, account] : queue.accounts) {
        if (account.tickets.empty())
            continue;
        const bool better = best
                && (fair ? account.counter < best->counter
                         : account.tickets.front() < best->tickets.front());
        if (!best || better)
            best = &account;
    }
    return best;
}

double AdmissionController::headCost(const RankQueue &queue) const
{
    const AccountQueue *account = pickAccount(const_cast<RankQueue &>(queue), m_options.fairShares);
    return account ? m_entries.at(account->tickets.front()).cost : 0.0;
}

/*!
    Returns the rank to serve next: one that is owed its next item under its floor, else
    the most urgent one that waits and leaves the headroom of the ranks above it free.
*/
std::optional<Rank> AdmissionController::pickRank(const Pool &pool) const
{
    for (std::size_t r = 0; r < rankCount; ++r) {
        const RankQueue &queue = pool.ranks[r];
        // The tolerance absorbs rounding, which would cost a rank one item in a few.
        if (queue.waiting > 0 && queue.credit > 0.0
            && queue.credit >= headCost(queue) * (1.0 - 1e-9))
            return static_cast<Rank>(r);
    }
    for (std::size_t r = 0; r < rankCount; ++r) {
        const double usable = std::max(1.0, pool.limit * (1.0 - m_options.headroom[r]));
        if (pool.ranks[r].waiting > 0 && pool.inFlight + 1.0 <= usable)
            return static_cast<Rank>(r);
    }
    return std::nullopt;
}

/*!
    Accounts \a cost of service to \a rank: every rank that waits earns its floor's part of
    it, and the served rank pays it from what it is owed. Returns by how much the served
    rank is owed less.
*/
double AdmissionController::charge(Pool &pool, Rank rank, double cost) const
{
    double less = 0.0;
    for (std::size_t r = 0; r < rankCount; ++r) {
        RankQueue &queue = pool.ranks[r];
        if (r != indexOf(rank) && queue.waiting == 0) {
            queue.credit = 0.0;
            continue;
        }
        const double earned = m_options.ranks[r].floorShare * cost;
        queue.credit += earned;
        if (r != indexOf(rank))
            continue;
        const double paid = std::min(cost, queue.credit);
        queue.credit -= paid;
        less = paid - earned;
    }
    return less;
}

void AdmissionController::removeWaiting(RankQueue &queue, AccountQueue &account, double cost)
{
    --queue.waiting;
    account.backlog = account.tickets.empty() ? 0.0 : account.backlog - cost;
    queue.backlog = queue.waiting == 0 ? 0.0 : queue.backlog - cost;
}

std::optional<Ticket> AdmissionController::takeNext(std::string_view name, Timestamp now)
{
    Pool &pool = poolFor(name);
    advance(pool, now);
    if (pool.inFlight >= pool.limit)
        return std::nullopt;
    const auto rank = pickRank(pool);
    if (!rank)
        return std::nullopt;
    RankQueue &queue = pool.ranks[indexOf(*rank)];
    AccountQueue *account = pickAccount(queue, m_options.fairShares);
    requireInvariant(account != nullptr, "a rank with waiting items has an account with items");
    const Ticket ticket = account->tickets.front();
    Entry &entry = m_entries.at(ticket);
    account->tickets.pop_front();
    removeWaiting(queue, *account, entry.cost);
    queue.virtualTime = std::max(queue.virtualTime, account->counter);
    account->counter += entry.cost / account->share;
    entry.paidCredit = charge(pool, *rank, entry.cost);
    entry.running = true;
    entry.startedAt = now;
    ++pool.inFlight;
    return ticket;
}

void AdmissionController::putBack(Ticket ticket)
{
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end() || !it->second.running)
        return;
    Entry &entry = it->second;
    Pool &pool = poolFor(entry.item.pool);
    RankQueue &queue = pool.ranks[indexOf(entry.item.rank)];
    AccountQueue &account = queue.accounts[entry.item.account];
    account.tickets.push_front(ticket);
    account.backlog += entry.cost;
    account.counter -= entry.cost / account.share;
    queue.backlog += entry.cost;
    ++queue.waiting;
    // Only what the item paid is returned, so that repeated attempts earn the rank nothing.
    queue.credit = std::max(0.0, queue.credit + entry.paidCredit);
    entry.paidCredit = 0.0;
    entry.running = false;
    --pool.inFlight;
}

void AdmissionController::finish(Ticket ticket, std::uint32_t outputTokens, Timestamp now)
{
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end() || !it->second.running)
        return;
    const Entry &entry = it->second;
    Pool &pool = poolFor(entry.item.pool);
    const double cost = costOf(entry.item, outputTokens);
    advance(pool, now);
    pool.busyCost += cost;
    RankQueue &queue = pool.ranks[indexOf(entry.item.rank)];
    AccountQueue &account = queue.accounts[entry.item.account];
    account.counter += (cost - entry.cost) / account.share;
    if (cost > entry.cost)
        charge(pool, entry.item.rank, cost - entry.cost);
    else
        queue.credit += std::max(0.0, std::min(entry.paidCredit, entry.cost - cost));
    pool.servedCost = pool.servedCost * serviceDecay + cost;
    pool.servedSeconds = pool.servedSeconds * serviceDecay + seconds(now - entry.startedAt);
    --pool.inFlight;
    m_entries.erase(it);
}

CancelResult AdmissionController::cancel(Ticket ticket)
{
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end())
        return CancelResult::NotFound;
    const Entry &entry = it->second;
    if (entry.running)
        return CancelResult::Running;
    RankQueue &queue = poolFor(entry.item.pool).ranks[indexOf(entry.item.rank)];
    AccountQueue &account = queue.accounts[entry.item.account];
    std::erase(account.tickets, ticket);
    removeWaiting(queue, account, entry.cost);
    m_entries.erase(it);
    return CancelResult::Waiting;
}

const WorkItem *AdmissionController::item(Ticket ticket) const
{
    const auto it = m_entries.find(ticket);
    return it == m_entries.end() ? nullptr : &it->second.item;
}

std::size_t AdmissionController::waiting(std::string_view name, Rank rank) const
{
    const Pool *pool = findPool(name);
    return pool ? pool->ranks[indexOf(rank)].waiting : 0;
}

std::uint32_t AdmissionController::inFlight(std::string_view name) const
{
    const Pool *pool = findPool(name);
    return pool ? pool->inFlight : 0;
}

std::uint32_t AdmissionController::slotLimit(std::string_view name) const
{
    const Pool *pool = findPool(name);
    return pool ? pool->limit : 0;
}

} // namespace sesame
