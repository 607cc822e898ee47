#include "Core/admissioncontroller.h"

#include "Core/invariant.h"
#include "Core/lastreason.h"

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

constexpr double rateDecaySeconds = 3.0; // Decay time of the measured rates.
constexpr double rankRateDecaySeconds = 10.0; // Longer: a rank's own service is less steady.
constexpr double minActiveCost = 0.01; // Decayed cost below which an account is idle.
constexpr double servedDecayFactor = 0.98; // Per finished item: about the last 50 items count.
constexpr double borrowedSlotsDecayFactor
        = 0.9; // Borrowed slots given back per report without free slots.
// Estimates scatter, and work is accepted when they are low. Runs of policybench with a batch
// flood and a limit of 30 s gave a p95 of 38 to 42 s with 1.15.
constexpr double waitSafetyFactor = 1.4;
constexpr double minMeasuredSeconds = 1.0; // Seconds with waiting work that give a usable rate.
constexpr double minRateShare = 0.01; // Share of the service assumed for a rank without a floor.
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
    // Without free slots, borrowed ones go back gradually, or a node at its limit keeps them
    // forever.
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
    Lets the measured rates age until \a now.
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
    Returns the cost per second that this node's slots serve: as measured while work
    waited, or from the mean cost per slot-second if that happened too seldom. The slots
    alone are not enough, because the engines do not always have room for all of them.
*/
double AdmissionController::serviceRate(const Pool &pool, Rank rank) const
{
    if (pool.busySeconds > minMeasuredSeconds)
        return pool.busyCost / pool.busySeconds;
    if (pool.servedSeconds <= 0.0)
        return 0.0;
    // Borrowed slots do not count: in a flood the other nodes need theirs.
    const double slots = std::min(pool.limit, pool.ownLimit);
    const double usable = std::max(1.0, slots * (1.0 - m_options.rankHeadroom[indexOf(rank)]));
    return pool.servedCost / pool.servedSeconds * usable;
}

/*!
    Returns the part of the service of its rank, 0 to 1, that the account of \a item can
    expect if the rank is served at \a rate: what the other accounts do not ask for, but
    at least its fair share.
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
    Returns the cost in the rank of \a item that fair sharing serves before a new item,
    both what waits now and what other accounts will send until then.
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
    A rank is served after the ranks above it, or by its floor, whichever comes first.
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
    // The rest of the other ranks is noisy, and work is accepted when it looks large; what the
    // rank got while it waited is not.
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
    An account below its part of the queue is accepted even when others fill the queue,
    so a flood from one caller does not shut out the rest.
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
    // Refused work counts too: it shows what the account would use.
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
    // An idle account keeps no claim on the time it did not use.
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
    Returns the account of \a queue to serve next, or a null pointer; with
    \a onlyWithinShare, only one that runs less than its share of \a limit slots.
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
    Returns the first item of the most urgent rank that waits and leaves the headroom of
    others free.
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
        // A lower rank must not fill the slots that this one leaves free.
        if (!account)
            return std::nullopt;
        return Selection {.rank = static_cast<Rank>(r), .ticket = account->tickets.front()};
    }
    return std::nullopt;
}

/*!
    Returns the item to serve next: the one in turn, or in its place one of a rank that is
    owed an item under its floor. A floor takes the place of other work only, because it
    would fill the headroom otherwise.
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
        // The tolerance absorbs rounding, which would cost a rank one item in a few.
        if (queue.floorCredit >= m_entries.at(ticket).cost * (1.0 - 1e-9))
            return Selection {.rank = static_cast<Rank>(r), .ticket = ticket};
    }
    return selectedByPriority;
}

/*!
    Accounts \a cost of service to \a rank: every rank that waits earns its floor's part of
    it, and the served rank pays it from what it is owed. Returns by how much the served
    rank is owed less.
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
    requireInvariant(queue.waitingCount > 0, "an accepted item was lost from its queue");
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
                     "the next item is the first one waiting of its account");
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
    // Only what the item paid is returned, so that repeated attempts earn the rank nothing.
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
