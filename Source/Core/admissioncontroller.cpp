#include "Core/admissioncontroller.h"

#include "Core/invariant.h"
#include "Core/lastreason.h"

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

constexpr double rateWindowSeconds = 3.0; // Decay time of the measured rates.
constexpr double rankWindowSeconds = 10.0; // Longer: a rank's own service is less steady.
constexpr double smallestActivity = 0.01; // Decayed cost below which an account is idle.
constexpr double serviceDecay = 0.98; // Per finished item: about the last 50 items count.
constexpr double borrowDecay = 0.9; // Borrowed slots given back per report without free slots.
// Estimates scatter, and work is accepted when they are low. Runs of policybench with a batch
// flood and a limit of 30 s gave a p95 of 38 to 42 s with 1.15.
constexpr double waitMargin = 1.4;
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
    pool.share = share;
    pool.limit = std::min(std::max(share, limit), std::max(share, capacity.fleetSlots));
}

bool AdmissionController::isBusy(const Pool &pool)
{
    return std::any_of(pool.ranks.begin(), pool.ranks.end(), [](const RankQueue &queue) {
        return queue.waiting > 0;
    });
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
    for (RankQueue &queue : pool.ranks) {
        queue.arrivalCost *= factor;
        for (auto &[name, account] : queue.accounts)
            account.arrivalCost *= factor;
        if (queue.waiting == 0)
            continue;
        const double slowFactor = std::exp(-elapsed / rankWindowSeconds);
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
    if (pool.busySeconds > shortestMeasure)
        return pool.busyCost / pool.busySeconds;
    if (pool.servedSeconds <= 0.0)
        return 0.0;
    // Borrowed slots do not count: in a flood the other nodes need theirs.
    const double slots = std::min(pool.limit, pool.share);
    const double usable = std::max(1.0, slots * (1.0 - m_options.headroom[indexOf(rank)]));
    return pool.servedCost / pool.servedSeconds * usable;
}

/*!
    Returns the part of the service of its rank, 0 to 1, that the account of \a item can
    expect if the rank is served at \a rate: what the other accounts do not ask for, but
    at least its fair share.
*/
double AdmissionController::accountPart(const RankQueue &queue, const WorkItem &item, double rate)
{
    double others = 0.0;
    double shares = item.accountShare;
    for (const auto &[name, account] : queue.accounts) {
        if (name == item.account)
            continue;
        const double asked = account.arrivalCost / rateWindowSeconds;
        others += asked;
        shares += asked > 0.0 ? account.share : 0.0;
    }
    return std::max(item.accountShare / shares, 1.0 - others / std::max(rate, 1e-9));
}

/*!
    Returns the cost in the rank of \a item that fair sharing serves before a new item,
    both what waits now and what other accounts will send until then.
*/
double AdmissionController::rankWorkAhead(const RankQueue &queue, const WorkItem &item,
                                          double rate) const
{
    if (!m_options.fairShares)
        return queue.backlog;
    const auto own = queue.accounts.find(item.account);
    const double backlog = own == queue.accounts.end() ? 0.0 : own->second.backlog;
    double start = queue.virtualTime;
    if (own != queue.accounts.end())
        start = std::max(start, own->second.counter + backlog / item.accountShare);
    double sum = 0.0;
    for (const auto &[name, account] : queue.accounts) {
        const double before = std::max(0.0, start - account.counter) * account.share;
        sum += std::min(account.backlog, before);
    }
    return std::max(sum, backlog / accountPart(queue, item, rate));
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
    const double usable = std::max(1.0, pool->limit * (1.0 - m_options.headroom[rank]));
    const double total = serviceRate(*pool, item.rank);
    if (total <= 0.0)
        return Duration(0);
    double above = 0.0;
    double rate = total;
    for (std::size_t r = 0; r < rankCount; ++r) {
        if (r < rank) {
            above += pool->ranks[r].backlog;
            rate -= pool->ranks[r].arrivalCost / rateWindowSeconds;
        } else if (r > rank && pool->ranks[r].waiting > 0) {
            rate -= m_options.ranks[r].floorShare * total;
        }
    }
    const double floorRate = m_options.ranks[rank].floorShare * total;
    // The rest of the other ranks is noisy, and work is accepted when it looks large; what the
    // rank got while it waited is not.
    const RankQueue &queue = pool->ranks[rank];
    if (queue.busySeconds > shortestMeasure)
        rate = std::min(rate, queue.busyCost / queue.busySeconds);
    rate = std::max(rate, total * lowestRate);
    const double own = rankWorkAhead(queue, item, std::max(rate, floorRate));
    if (above + own <= 0.0 && pool->inFlight + 1.0 <= usable)
        return Duration(0);
    const double inTurn = (above + own) / rate * waitMargin;
    if (floorRate <= 0.0)
        return fromSeconds(inTurn);
    const double byFloor = (own + costOf(item, item.outputTokens)) / floorRate * waitMargin;
    return fromSeconds(std::min(inTurn, byFloor));
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
    // Refused work counts too: it shows what the account would use.
    const double cost = costOf(item, item.outputTokens);
    AccountQueue &account = queue.accounts[item.account];
    account.arrivalCost += cost;
    queue.arrivalCost += cost;
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
    account.share = item.accountShare;
    // An idle account keeps no claim on the time it did not use.
    if (account.tickets.empty())
        account.counter = std::max(account.counter, queue.virtualTime);
    account.tickets.push_back(ticket);
    account.backlog += cost;
    queue.backlog += cost;
    ++queue.waiting;
    m_entries.emplace(ticket, Entry {.item = item, .cost = cost});
    return ticket;
}

/*!
    Returns the account of \a queue to serve next, or a null pointer; with
    \a onlyWithinShare, only one that runs less than its share of \a limit slots.
*/
const AdmissionController::AccountQueue *
AdmissionController::pickAccount(const RankQueue &queue, std::uint32_t limit,
                                 bool onlyWithinShare) const
{
    double shares = 0.0;
    for (const auto &[name, account] : queue.accounts)
        shares += account.arrivalCost > smallestActivity ? account.share : 0.0;
    const AccountQueue *best = nullptr;
    for (const auto &[name, account] : queue.accounts) {
        if (account.tickets.empty())
            continue;
        if (onlyWithinShare && account.running >= limit * account.share / shares)
            continue;
        const bool better = best
                && (m_options.fairShares ? account.counter < best->counter
                                         : account.tickets.front() < best->tickets.front());
        if (!best || better)
            best = &account;
    }
    return best;
}

/*!
    Returns the first item of the most urgent rank that waits and leaves the headroom of
    others free.
*/
std::optional<AdmissionController::Choice> AdmissionController::pickInTurn(const Pool &pool) const
{
    for (std::size_t r = 0; r < rankCount; ++r) {
        const double usable = std::max(1.0, pool.limit * (1.0 - m_options.headroom[r]));
        if (pool.ranks[r].waiting == 0 || pool.inFlight + 1.0 > usable)
            continue;
        const double overShare = std::max(1.0, usable - pool.limit * m_options.accountHeadroom);
        const bool onlyWithinShare = m_options.fairShares && pool.inFlight + 1.0 > overShare;
        const auto *account = pickAccount(pool.ranks[r], pool.limit, onlyWithinShare);
        // A lower rank must not fill the slots that this one leaves free.
        if (!account)
            return std::nullopt;
        return Choice {.rank = static_cast<Rank>(r), .ticket = account->tickets.front()};
    }
    return std::nullopt;
}

/*!
    Returns the item to serve next: the one in turn, or in its place one of a rank that is
    owed an item under its floor. A floor takes the place of other work only, because it
    would fill the headroom otherwise.
*/
std::optional<AdmissionController::Choice> AdmissionController::pick(const Pool &pool) const
{
    const auto inTurn = pickInTurn(pool);
    for (std::size_t r = 0; inTurn && r < rankCount; ++r) {
        const RankQueue &queue = pool.ranks[r];
        if (queue.waiting == 0 || queue.credit <= 0.0)
            continue;
        const Ticket ticket = pickAccount(queue, pool.limit, false)->tickets.front();
        // The tolerance absorbs rounding, which would cost a rank one item in a few.
        if (queue.credit >= m_entries.at(ticket).cost * (1.0 - 1e-9))
            return Choice {.rank = static_cast<Rank>(r), .ticket = ticket};
    }
    return inTurn;
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
    requireInvariant(queue.waiting > 0, "an accepted item was lost from its queue");
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
    const auto choice = pick(pool);
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
    queue.virtualTime = std::max(queue.virtualTime, account.counter);
    account.counter += entry.cost / account.share;
    ++account.running;
    entry.paidCredit = charge(pool, choice->rank, entry.cost);
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
    --account.running;
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
    requireInvariant(pool.inFlight > 0, "a running item holds a slot");
    const double cost = costOf(entry.item, outputTokens);
    advance(pool, now);
    if (isBusy(pool))
        pool.busyCost += cost;
    RankQueue &queue = pool.ranks[indexOf(entry.item.rank)];
    AccountQueue &account = queue.accounts[entry.item.account];
    account.counter += (cost - entry.cost) / account.share;
    --account.running;
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

std::array<std::uint32_t, rankCount> AdmissionController::openItems(std::string_view pool) const
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
