#include "Core/admissioncontroller.h"

#include "Core/invariant.h"
#include "Core/lastreason.h"

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

// Time constant with which the measured rates decay.
constexpr double rateDecaySeconds = 3.0;
// The service of a single rank varies more than that of the node, so it is averaged for longer.
constexpr double rankRateDecaySeconds = 10.0;
// An account whose decayed arrival cost is at most this value counts as idle.
constexpr double minActiveCost = 0.01;
// Applied for each finished item, so that about the last 50 items count.
constexpr double servedDecayFactor = 0.98;
// Share of the borrowed slots that a node keeps after each report without free slots.
constexpr double borrowedSlotsDecayFactor = 0.9;
// Wait estimates scatter, and items are accepted when the estimate is low. With a factor of 1.15,
// policybench runs with a flood of batch requests and a limit of 30 s had a p95 of 38 to 42 s.
constexpr double waitSafetyFactor = 1.4;
// A measured rate is used only if it covers more than this time with waiting items.
constexpr double minMeasuredSeconds = 1.0;
// Smallest share of the total service rate that is assumed for a rank, also without a floor.
constexpr double minRateShare = 0.01;
constexpr Duration minRetryAfter = std::chrono::milliseconds(100);
constexpr Duration maxRetryAfter = std::chrono::seconds(60);

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

AdmissionController::Pool &AdmissionController::findOrAddPool(std::string_view name)
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
    Pool &pool = findOrAddPool(name);
    pool.liveNodes = std::max(1U, capacity.liveNodes);
    const std::uint32_t ownLimit = (capacity.fleetSlots + pool.liveNodes - 1) / pool.liveNodes;
    const std::uint32_t borrowableSlots = (capacity.fleetFreeSlots + pool.liveNodes - 1)
            / pool.liveNodes;
    std::uint32_t limit = pool.inFlightCount + borrowableSlots;
    // While the fleet has no free slots, borrowed slots are returned gradually; otherwise a node
    // at its limit would keep them forever.
    if (borrowableSlots == 0 && pool.inFlightCount > ownLimit)
        limit = ownLimit
                + static_cast<std::uint32_t>((pool.inFlightCount - ownLimit)
                                             * borrowedSlotsDecayFactor);
    pool.ownLimit = ownLimit;
    pool.limit = std::min(std::max(ownLimit, limit), std::max(ownLimit, capacity.fleetSlots));
}

bool AdmissionController::isBusy(const Pool &pool)
{
    return std::any_of(pool.ranks.begin(), pool.ranks.end(), [](const RankQueue &queue) {
        return queue.waitingCount > 0;
    });
}

/*!
    Applies the exponential decay of the measured rates up to \a now.
*/
void AdmissionController::decayRates(Pool &pool, Timestamp now)
{
    const double elapsed = seconds(now - pool.ratesUpdatedAt);
    pool.ratesUpdatedAt = std::max(pool.ratesUpdatedAt, now);
    if (elapsed <= 0.0)
        return;
    const double factor = std::exp(-elapsed / rateDecaySeconds);
    for (RankQueue &queue : pool.ranks) {
        queue.arrivalCost *= factor;
        for (auto &[name, account] : queue.accounts)
            account.arrivalCost *= factor;
        if (queue.waitingCount == 0)
            continue;
        const double slowFactor = std::exp(-elapsed / rankRateDecaySeconds);
        queue.busyCost *= slowFactor;
        queue.busySeconds = queue.busySeconds * slowFactor + elapsed;
    }
    if (!isBusy(pool))
        return;
    pool.busyCost *= factor;
    pool.busySeconds = pool.busySeconds * factor + elapsed;
}

/*!
    Returns the cost per second that this node's slots serve: the rate measured while items
    waited, or an estimate from the mean cost per slot and second if items waited for too short a
    time. The measured rate is preferred because the engines do not always have room for a request
    in each slot.
*/
double AdmissionController::serviceRate(const Pool &pool, Rank rank) const
{
    if (pool.busySeconds > minMeasuredSeconds)
        return pool.busyCost / pool.busySeconds;
    if (pool.servedSeconds <= 0.0)
        return 0.0;
    // Borrowed slots do not count, because the other nodes need them under high load.
    const double slots = std::min(pool.limit, pool.ownLimit);
    const double usable = std::max(1.0, slots * (1.0 - m_options.rankHeadroom[indexOf(rank)]));
    return pool.servedCost / pool.servedSeconds * usable;
}

/*!
    Returns the share of the service of its rank, 0 to 1, that the account of \a item can expect
    if the rank is served at \a rate: the share that the other accounts do not request, but at
    least its fair share.
*/
double AdmissionController::expectedAccountShare(const RankQueue &queue, const WorkItem &item,
                                                 double rate)
{
    double otherArrivalRate = 0.0;
    double shares = item.accountShare;
    for (const auto &[name, account] : queue.accounts) {
        if (name == item.account)
            continue;
        const double arrivalRate = account.arrivalCost / rateDecaySeconds;
        otherArrivalRate += arrivalRate;
        shares += arrivalRate > 0.0 ? account.share : 0.0;
    }
    return std::max(item.accountShare / shares, 1.0 - otherArrivalRate / std::max(rate, 1e-9));
}

/*!
    Returns the cost in the rank of \a item that fair sharing serves before a new item: the cost
    that waits now and the cost that other accounts will submit in the meantime.
*/
double AdmissionController::costAheadInRank(const RankQueue &queue, const WorkItem &item,
                                            double rate) const
{
    if (!m_options.useFairSharing)
        return queue.waitingCost;
    const auto own = queue.accounts.find(item.account);
    const double ownWaitingCost = own == queue.accounts.end() ? 0.0 : own->second.waitingCost;
    double startCost = queue.virtualTime;
    if (own != queue.accounts.end())
        startCost = std::max(startCost,
                             own->second.normalizedCost + ownWaitingCost / item.accountShare);
    double sum = 0.0;
    for (const auto &[name, account] : queue.accounts) {
        const double servedBefore = std::max(0.0, startCost - account.normalizedCost)
                * account.share;
        sum += std::min(account.waitingCost, servedBefore);
    }
    return std::max(sum, ownWaitingCost / expectedAccountShare(queue, item, rate));
}

/*!
    A rank is served after the ranks above it or through its floor, whichever is earlier.
*/
Duration AdmissionController::expectedWait(const WorkItem &item) const
{
    const Pool *pool = findPool(item.pool);
    if (!pool)
        return Duration(0);
    const std::size_t rank = indexOf(item.rank);
    const double usable = std::max(1.0, pool->limit * (1.0 - m_options.rankHeadroom[rank]));
    const double total = serviceRate(*pool, item.rank);
    if (total <= 0.0)
        return Duration(0);
    double costAbove = 0.0;
    double rate = total;
    for (std::size_t r = 0; r < rankCount; ++r) {
        if (r < rank) {
            costAbove += pool->ranks[r].waitingCost;
            rate -= pool->ranks[r].arrivalCost / rateDecaySeconds;
        } else if (r > rank && pool->ranks[r].waitingCount > 0) {
            rate -= m_options.ranks[r].floorShare * total;
        }
    }
    const double floorRate = m_options.ranks[rank].floorShare * total;
    // The rate that the other ranks leave over is noisy, and items are accepted when it is
    // overestimated. The rate at which the rank was served while it had waiting items is not noisy.
    const RankQueue &queue = pool->ranks[rank];
    if (queue.busySeconds > minMeasuredSeconds)
        rate = std::min(rate, queue.busyCost / queue.busySeconds);
    rate = std::max(rate, total * minRateShare);
    const double ownRankCost = costAheadInRank(queue, item, std::max(rate, floorRate));
    if (costAbove + ownRankCost <= 0.0 && pool->inFlightCount + 1.0 <= usable)
        return Duration(0);
    const double waitByPriority = (costAbove + ownRankCost) / rate * waitSafetyFactor;
    if (floorRate <= 0.0)
        return fromSeconds(waitByPriority);
    const double waitByFloor = (ownRankCost + costOf(item, item.outputTokens)) / floorRate
            * waitSafetyFactor;
    return fromSeconds(std::min(waitByPriority, waitByFloor));
}

/*!
    An account that uses less than its share of the queue is accepted even if other accounts fill
    the queue, so that a flood from one account does not block the others.
*/
bool AdmissionController::isQueueFull(const Pool &pool, const WorkItem &item) const
{
    const RankQueue &queue = pool.ranks[indexOf(item.rank)];
    const std::size_t limit = std::max<std::size_t>(1, m_options.maxQueuedItems / pool.liveNodes);
    if (queue.waitingCount < limit)
        return false;
    if (!m_options.useFairSharing)
        return true;
    const auto own = queue.accounts.find(item.account);
    const std::size_t ownItems = own == queue.accounts.end() ? 0 : own->second.tickets.size();
    std::size_t activeAccounts = ownItems == 0 ? 1 : 0;
    for (const auto &[name, account] : queue.accounts)
        activeAccounts += account.tickets.empty() ? 0 : 1;
    return ownItems >= std::max<std::size_t>(1, limit / activeAccounts);
}

std::optional<Ticket> AdmissionController::submit(const WorkItem &item, Timestamp now)
{
    Pool &pool = findOrAddPool(item.pool);
    decayRates(pool, now);
    RankQueue &queue = pool.ranks[indexOf(item.rank)];
    const Duration wait = expectedWait(item);
    // Refused items count too, because they show how much the account would use.
    const double cost = costOf(item, item.outputTokens);
    AccountQueue &account = queue.accounts[item.account];
    account.arrivalCost += cost;
    queue.arrivalCost += cost;
    const auto refuse = [&](ResultCode code, Duration excess, const char *text) {
        m_retryAfter = std::clamp(excess, minRetryAfter, maxRetryAfter);
        return fail(code, item.pool + ": " + text);
    };
    if (isQueueFull(pool, item))
        return refuse(ResultCode::Overloaded, wait, "queue is full");
    if (m_options.useEarlyRefusal) {
        const Duration limit = m_options.ranks[indexOf(item.rank)].queueLimit;
        if (wait > limit)
            return refuse(ResultCode::Overloaded, wait - limit, "expected wait exceeds the limit");
        const Timestamp first = now + wait + item.prefillTime;
        if (item.deadline && first > *item.deadline)
            return refuse(ResultCode::DeadlineUnreachable, first - *item.deadline,
                          "expected first token is past the deadline");
    }
    const Ticket ticket = ++m_lastTicket;
    account.share = item.accountShare;
    // An account that was idle gets no compensation for the service that it did not use.
    if (account.tickets.empty())
        account.normalizedCost = std::max(account.normalizedCost, queue.virtualTime);
    account.tickets.push_back(ticket);
    account.waitingCost += cost;
    queue.waitingCost += cost;
    ++queue.waitingCount;
    m_entries.emplace(ticket, Entry {.item = item, .cost = cost});
    return ticket;
}

/*!
    Returns the account of \a queue to serve next, or a null pointer if there is none. With
    \a onlyWithinShare, only accounts that run fewer items than their share of \a limit slots are
    considered.
*/
const AdmissionController::AccountQueue *
AdmissionController::selectAccount(const RankQueue &queue, std::uint32_t limit,
                                   bool onlyWithinShare) const
{
    double shares = 0.0;
    for (const auto &[name, account] : queue.accounts)
        shares += account.arrivalCost > minActiveCost ? account.share : 0.0;
    const AccountQueue *best = nullptr;
    for (const auto &[name, account] : queue.accounts) {
        if (account.tickets.empty())
            continue;
        if (onlyWithinShare && account.running >= limit * account.share / shares)
            continue;
        const bool isBetter = best
                && (m_options.useFairSharing ? account.normalizedCost < best->normalizedCost
                                             : account.tickets.front() < best->tickets.front());
        if (!best || isBetter)
            best = &account;
    }
    return best;
}

/*!
    Returns the next item of the most urgent rank that has waiting items and may take a slot
    without using the headroom of other ranks or accounts.
*/
std::optional<AdmissionController::Selection>
AdmissionController::selectByPriority(const Pool &pool) const
{
    for (std::size_t r = 0; r < rankCount; ++r) {
        const double usable = std::max(1.0, pool.limit * (1.0 - m_options.rankHeadroom[r]));
        if (pool.ranks[r].waitingCount == 0 || pool.inFlightCount + 1.0 > usable)
            continue;
        const double usableBeyondShare = std::max(1.0,
                                                  usable - pool.limit * m_options.accountHeadroom);
        const bool onlyWithinShare = m_options.useFairSharing
                && pool.inFlightCount + 1.0 > usableBeyondShare;
        const auto *account = selectAccount(pool.ranks[r], pool.limit, onlyWithinShare);
        // A lower rank must not use the slots that this rank leaves free.
        if (!account)
            return std::nullopt;
        return Selection {.rank = static_cast<Rank>(r), .ticket = account->tickets.front()};
    }
    return std::nullopt;
}

/*!
    Returns the item to serve next: the item selected by priority or, instead of it, an item of a
    rank whose floor credit pays for it. A floor only replaces an item that would be dispatched
    anyway; otherwise it would use up the headroom.
*/
std::optional<AdmissionController::Selection>
AdmissionController::selectNext(const Pool &pool) const
{
    const auto selectedByPriority = selectByPriority(pool);
    for (std::size_t r = 0; selectedByPriority && r < rankCount; ++r) {
        const RankQueue &queue = pool.ranks[r];
        if (queue.waitingCount == 0 || queue.floorCredit <= 0.0)
            continue;
        const Ticket ticket = selectAccount(queue, pool.limit, false)->tickets.front();
        // The tolerance absorbs rounding errors, which would delay one of every few items of the
        // rank.
        if (queue.floorCredit >= m_entries.at(ticket).cost * (1.0 - 1e-9))
            return Selection {.rank = static_cast<Rank>(r), .ticket = ticket};
    }
    return selectedByPriority;
}

/*!
    Charges \a cost of service to \a rank: the floor credit of each rank with waiting items grows
    by the rank's floor share of the cost, and the served rank pays the cost from its credit.
    Returns the net reduction of the served rank's credit.
*/
double AdmissionController::chargeRank(Pool &pool, Rank rank, double cost) const
{
    double paidCredit = 0.0;
    for (std::size_t r = 0; r < rankCount; ++r) {
        RankQueue &queue = pool.ranks[r];
        if (r != indexOf(rank) && queue.waitingCount == 0) {
            queue.floorCredit = 0.0;
            continue;
        }
        const double earned = m_options.ranks[r].floorShare * cost;
        queue.floorCredit += earned;
        if (r != indexOf(rank))
            continue;
        const double paid = std::min(cost, queue.floorCredit);
        queue.floorCredit -= paid;
        paidCredit = paid - earned;
    }
    return paidCredit;
}

void AdmissionController::removeWaiting(RankQueue &queue, AccountQueue &account, double cost)
{
    requireInvariant(queue.waitingCount > 0, "no accepted item is lost from its queue");
    --queue.waitingCount;
    account.waitingCost = account.tickets.empty() ? 0.0 : account.waitingCost - cost;
    queue.waitingCost = queue.waitingCount == 0 ? 0.0 : queue.waitingCost - cost;
}

std::optional<Ticket> AdmissionController::takeNext(std::string_view name, Timestamp now)
{
    Pool &pool = findOrAddPool(name);
    decayRates(pool, now);
    if (pool.inFlightCount >= pool.limit)
        return std::nullopt;
    const auto choice = selectNext(pool);
    if (!choice)
        return std::nullopt;
    const Ticket ticket = choice->ticket;
    Entry &entry = m_entries.at(ticket);
    RankQueue &queue = pool.ranks[indexOf(choice->rank)];
    AccountQueue &account = queue.accounts.at(entry.item.account);
    requireInvariant(account.tickets.front() == ticket && !entry.running,
                     "the next item is the first waiting item of its account");
    account.tickets.pop_front();
    removeWaiting(queue, account, entry.cost);
    queue.busyCost += entry.cost;
    queue.virtualTime = std::max(queue.virtualTime, account.normalizedCost);
    account.normalizedCost += entry.cost / account.share;
    ++account.running;
    entry.paidCredit = chargeRank(pool, choice->rank, entry.cost);
    entry.running = true;
    entry.startedAt = now;
    ++pool.inFlightCount;
    return ticket;
}

void AdmissionController::requeue(Ticket ticket)
{
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end() || !it->second.running)
        return;
    Entry &entry = it->second;
    Pool &pool = findOrAddPool(entry.item.pool);
    RankQueue &queue = pool.ranks[indexOf(entry.item.rank)];
    AccountQueue &account = queue.accounts[entry.item.account];
    account.tickets.push_front(ticket);
    account.waitingCost += entry.cost;
    account.normalizedCost -= entry.cost / account.share;
    --account.running;
    queue.waitingCost += entry.cost;
    ++queue.waitingCount;
    // Exactly the credit that the item paid is refunded, so that repeated attempts do not increase
    // the credit of the rank.
    queue.floorCredit = std::max(0.0, queue.floorCredit + entry.paidCredit);
    entry.paidCredit = 0.0;
    entry.running = false;
    --pool.inFlightCount;
}

void AdmissionController::finish(Ticket ticket, std::uint32_t outputTokens, Timestamp now)
{
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end() || !it->second.running)
        return;
    const Entry &entry = it->second;
    Pool &pool = findOrAddPool(entry.item.pool);
    requireInvariant(pool.inFlightCount > 0, "a running item holds a slot");
    const double cost = costOf(entry.item, outputTokens);
    decayRates(pool, now);
    if (isBusy(pool))
        pool.busyCost += cost;
    RankQueue &queue = pool.ranks[indexOf(entry.item.rank)];
    AccountQueue &account = queue.accounts[entry.item.account];
    account.normalizedCost += (cost - entry.cost) / account.share;
    --account.running;
    if (cost > entry.cost)
        chargeRank(pool, entry.item.rank, cost - entry.cost);
    else
        queue.floorCredit += std::max(0.0, std::min(entry.paidCredit, entry.cost - cost));
    pool.servedCost = pool.servedCost * servedDecayFactor + cost;
    pool.servedSeconds = pool.servedSeconds * servedDecayFactor + seconds(now - entry.startedAt);
    --pool.inFlightCount;
    m_entries.erase(it);
}

CancelResult AdmissionController::cancel(Ticket ticket)
{
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end())
        return CancelResult::NotFound;
    const Entry &entry = it->second;
    if (entry.running)
        return CancelResult::AlreadyDispatched;
    RankQueue &queue = findOrAddPool(entry.item.pool).ranks[indexOf(entry.item.rank)];
    AccountQueue &account = queue.accounts[entry.item.account];
    std::erase(account.tickets, ticket);
    removeWaiting(queue, account, entry.cost);
    m_entries.erase(it);
    return CancelResult::Cancelled;
}

const WorkItem *AdmissionController::item(Ticket ticket) const
{
    const auto it = m_entries.find(ticket);
    return it == m_entries.end() ? nullptr : &it->second.item;
}

std::size_t AdmissionController::waitingCount(std::string_view name, Rank rank) const
{
    const Pool *pool = findPool(name);
    return pool ? pool->ranks[indexOf(rank)].waitingCount : 0;
}

std::uint32_t AdmissionController::inFlightCount(std::string_view name) const
{
    const Pool *pool = findPool(name);
    return pool ? pool->inFlightCount : 0;
}

std::array<std::uint32_t, rankCount>
AdmissionController::countOpenItems(std::string_view pool) const
{
    std::array<std::uint32_t, rankCount> counts {};
    for (const auto &[ticket, entry] : m_entries) {
        if (entry.item.pool == pool)
            ++counts[static_cast<std::size_t>(entry.item.rank)];
    }
    return counts;
}

std::uint32_t AdmissionController::slotLimit(std::string_view name) const
{
    const Pool *pool = findPool(name);
    return pool ? pool->limit : 0;
}

} // namespace sesame
