#pragma once

#include "Core/fleetconfig.h"
#include "Core/ports.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sesame {

using Ticket = std::uint64_t;

struct WorkItem
{
    //! Model or service name. Models that share engines need one pool, because ranks and
    //! accounts are weighed against each other only within a pool.
    std::string pool;
    Rank rank = Rank::Standard;
    std::string account;
    double accountShare = 1.0; //!< Weight of the account within its rank; above zero.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 1; //!< Expected; finish() corrects the charge.
    std::optional<Timestamp> deadline {}; //!< Latest useful first token.
    Duration prefillTime {0}; //!< Expected time from dispatch to the first token.
};

struct AdmissionOptions
{
    std::array<RankPolicy, rankCount> ranks {};
    std::size_t maxQueuedItems = 4000; //!< Waiting items per pool and rank, over all nodes.
    //! Cost of a prompt token relative to an output token. Prefill handles tokens in bulk.
    double promptTokenWeight = 0.02;
    //! Share of the slots that a rank leaves free for the ranks above it. Without it an
    //! urgent request that arrives in a flood of long batch work waits for a slot.
    std::array<double, rankCount> rankHeadroom {0.0, 0.1, 0.3};
    //! Share of the slots that an account beyond its fair share leaves free for the others.
    //! Fair order alone is not enough: a small account would wait for a slot of a large one.
    double accountHeadroom = 0.1;
    bool useFairSharing = true; //!< False: first in, first out within a rank (measurements only).
    bool useEarlyRefusal = true; //!< False: only the queue length refuses (measurements only).
};

struct PoolCapacity
{
    std::uint32_t fleetSlots = 0; //!< Slots of all usable backend servers of the pool.
    //! Slots less running and queued requests by the last load reports, summed over the
    //! fleet. An overfull server must count against the others, or nodes keep borrowing.
    std::uint32_t fleetFreeSlots = 0;
    std::uint32_t liveNodes = 1; //!< Entry nodes alive, this node included.
};

enum class CancelResult {
    Cancelled, //!< The item left the queue and never ran.
    AlreadyDispatched, //!< The item was dispatched; it keeps its slot until finish().
    NotFound
};

/*!
    Decides which requests an entry node accepts and in which order it dispatches them.
    Accepted items stay until they are taken, finished or cancelled by the caller.

    Limits hold over all nodes without a coordinator: a node uses its part of the live
    nodes, and borrows its part of the slots that the load reports show free.
*/
class AdmissionController
{
public:
    explicit AdmissionController(AdmissionOptions options = {});

    void setOptions(AdmissionOptions options) { m_options = options; }
    void setCapacity(std::string_view pool, const PoolCapacity &capacity);

    /*!
        Accepts \a item and returns its ticket, or refuses it with code 1200 (overloaded)
        or 1201 (deadline unreachable); retryAfter() then tells when to try again.
    */
    std::optional<Ticket> submit(const WorkItem &item, Timestamp now);

    /*!
        Returns the delay to report with the last refusal of submit().
    */
    Duration retryAfter() const { return m_retryAfter; }

    /*!
        Takes the next item of \a pool to dispatch, or returns std::nullopt if nothing
        waits or this node has no free slot. The item occupies a slot until finish().
    */
    std::optional<Ticket> takeNext(std::string_view pool, Timestamp now);

    /*!
        Returns a taken item to the head of its queue, for example because no backend
        server may run it now. The charge for it is undone.
    */
    void requeue(Ticket ticket);

    /*!
        Frees the slot of \a ticket, which produced \a outputTokens.
    */
    void finish(Ticket ticket, std::uint32_t outputTokens, Timestamp now);

    CancelResult cancel(Ticket ticket);

    /*!
        Returns the item of \a ticket, or a null pointer if it is finished or unknown.
    */
    const WorkItem *item(Ticket ticket) const;

    /*!
        Returns the expected time until an item like \a item is dispatched. Zero while
        no service rate was measured.
    */
    Duration expectedWait(const WorkItem &item) const;

    std::size_t waitingCount(std::string_view pool, Rank rank) const;
    std::uint32_t inFlightCount(std::string_view pool) const;

    /*!
        Returns the numbers of waiting and running items of \a pool by rank.
    */
    std::array<std::uint32_t, rankCount> countOpenItems(std::string_view pool) const;
    std::uint32_t slotLimit(std::string_view pool) const;

private:
    struct AccountQueue
    {
        std::deque<Ticket> tickets;
        double normalizedCost = 0.0; //!< Cost served so far, divided by the share.
        double waitingCost = 0.0; //!< Cost waiting.
        double share = 1.0;
        double arrivalCost = 0.0; //!< Cost asked for, decaying.
        std::uint32_t running = 0;
    };
    struct RankQueue
    {
        std::map<std::string, AccountQueue, std::less<>> accounts;
        std::size_t waitingCount = 0;
        double waitingCost = 0.0;
        double floorCredit = 0.0; //!< Cost owed to this rank under its floor.
        double virtualTime = 0.0;
        double arrivalCost = 0.0; //!< Cost asked for, decaying.
        double busyCost = 0.0; //!< With busySeconds, the decaying mean cost per second that
        double busySeconds = 0.0; //!< was dispatched for this rank while it waited.
    };
    struct Pool
    {
        std::array<RankQueue, rankCount> ranks;
        std::uint32_t inFlightCount = 0;
        std::uint32_t limit = 0;
        std::uint32_t ownLimit = 0; //!< The limit without borrowed slots.
        std::uint32_t liveNodes = 1;
        double servedCost = 0.0; //!< With servedSeconds, the decaying mean cost per slot-second.
        double servedSeconds = 0.0;
        double busyCost = 0.0; //!< With busySeconds, the decaying mean cost per second of
        double busySeconds = 0.0; //!< the whole node while work waited.
        Timestamp ratesUpdatedAt {};
    };
    struct Entry
    {
        WorkItem item;
        double cost = 0.0;
        double paidCredit = 0.0; //!< What charge() returned for the item.
        bool running = false;
        Timestamp startedAt {};
    };

    struct Selection
    {
        Rank rank = Rank::Urgent;
        Ticket ticket = 0;
    };

    double costOf(const WorkItem &item, std::uint32_t outputTokens) const;
    Pool &findOrAddPool(std::string_view name);
    const Pool *findPool(std::string_view name) const;
    static bool isBusy(const Pool &pool);
    static void decayRates(Pool &pool, Timestamp now);
    double serviceRate(const Pool &pool, Rank rank) const;
    static double expectedAccountShare(const RankQueue &queue, const WorkItem &item, double rate);
    double costAheadInRank(const RankQueue &queue, const WorkItem &item, double rate) const;
    bool isQueueFull(const Pool &pool, const WorkItem &item) const;
    const AccountQueue *selectAccount(const RankQueue &queue, std::uint32_t limit,
                                      bool onlyWithinShare) const;
    std::optional<Selection> selectByPriority(const Pool &pool) const;
    std::optional<Selection> selectNext(const Pool &pool) const;
    double chargeRank(Pool &pool, Rank rank, double cost) const;
    static void removeWaiting(RankQueue &queue, AccountQueue &account, double cost);

    AdmissionOptions m_options;
    std::map<std::string, Pool, std::less<>> m_pools;
    std::unordered_map<Ticket, Entry> m_entries;
    Ticket m_lastTicket = 0;
    Duration m_retryAfter {0};
};

} // namespace sesame
