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

//! Identifies an accepted work item within one AdmissionController.
using Ticket = std::uint64_t;

/*!
    A request as the admission controller sees it.
*/
struct WorkItem
{
    //! Name of the model, service or engine pool. Models that share engines must be in the same
    //! pool, because ranks and accounts are compared only within a pool.
    std::string pool;
    Rank rank = Rank::Standard;
    std::string account;
    double accountShare = 1.0; //!< Weight of the account within its rank; greater than zero.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 1; //!< Expected number; finish() corrects the charged cost.
    std::optional<Timestamp> deadline {}; //!< The first token is useless after this time.
    Duration prefillTime {0}; //!< Expected time from dispatch to the first token.
};

struct AdmissionOptions
{
    std::array<RankPolicy, rankCount> ranks {};
    std::size_t maxQueuedItems = 4000; //!< Waiting items per pool and rank, over all nodes.
    //! Cost of a prompt token relative to an output token. It is small because prefill processes
    //! many tokens in parallel.
    double promptTokenWeight = 0.02;
    //! Share of the slots that a rank leaves free for the ranks above it. Without it, an urgent
    //! request that arrives while long batch requests hold all slots waits until one finishes.
    std::array<double, rankCount> rankHeadroom {0.0, 0.1, 0.3};
    //! Share of the slots that an account which exceeds its fair share leaves free for the other
    //! accounts. Fair ordering alone is not enough: a small account would wait until a request of
    //! a large account releases its slot.
    double accountHeadroom = 0.1;
    bool useFairSharing = true; //!< False: first in, first out within a rank (measurements only).
    //! False: items are refused only because the queue is full (measurements only).
    bool useEarlyRefusal = true;
};

/*!
    Capacity of a pool as this entry node knows it.
*/
struct PoolCapacity
{
    std::uint32_t fleetSlots = 0; //!< Slots of all usable backend servers of the pool.
    //! Slots minus running and queued requests according to the last load reports, summed over
    //! the fleet. A server with more requests than slots must reduce this sum; otherwise the
    //! nodes keep borrowing slots.
    std::uint32_t fleetFreeSlots = 0;
    std::uint32_t liveNodes = 1; //!< Number of entry nodes that are alive, including this one.
};

enum class CancelResult {
    Cancelled, //!< The item was removed from the queue and never ran.
    AlreadyDispatched, //!< The item was dispatched; it keeps its slot until finish().
    NotFound //!< The ticket is unknown, or its item is finished or cancelled.
};

/*!
    Decides which requests an entry node accepts and in which order it dispatches them.
    An accepted item is never dropped; it waits until it is taken by takeNext() or cancelled.

    The limits hold over all nodes without a coordinator: each node uses the slots of the fleet
    divided by the number of live nodes, and borrows the same fraction of the slots that the load
    reports show as free.
*/
class AdmissionController
{
public:
    explicit AdmissionController(AdmissionOptions options = {});

    void setOptions(AdmissionOptions options) { m_options = options; }

    /*!
        Derives the number of slots of \a pool that this node may use from the fleet's \a capacity.
    */
    void setCapacity(std::string_view pool, const PoolCapacity &capacity);

    /*!
        Accepts \a item and returns its ticket, or refuses it with code 1200 (overloaded)
        or 1201 (deadline unreachable). After a refusal, retryAfter() returns the retry delay.
    */
    std::optional<Ticket> submit(const WorkItem &item, Timestamp now);

    /*!
        Returns the delay after which the item that submit() refused last may be retried.
    */
    Duration retryAfter() const { return m_retryAfter; }

    /*!
        Removes the next item to dispatch from the queues of \a pool and returns its ticket, or
        returns std::nullopt if no item waits or this node has no free slot. The item occupies a
        slot until finish() or requeue().
    */
    std::optional<Ticket> takeNext(std::string_view pool, Timestamp now);

    /*!
        Returns a taken item to the head of its queue, for example because no backend server can
        run it now. The cost charged for it is refunded.
    */
    void requeue(Ticket ticket);

    /*!
        Releases the slot of the item \a ticket, which produced \a outputTokens tokens.
    */
    void finish(Ticket ticket, std::uint32_t outputTokens, Timestamp now);

    /*!
        Removes the item \a ticket from its queue if it still waits.
    */
    CancelResult cancel(Ticket ticket);

    /*!
        Returns the item \a ticket, or a null pointer if it is finished or unknown.
    */
    const WorkItem *item(Ticket ticket) const;

    /*!
        Returns the expected time until an item like \a item is dispatched, or zero if no service
        rate has been measured yet.
    */
    Duration expectedWait(const WorkItem &item) const;

    std::size_t waitingCount(std::string_view pool, Rank rank) const;
    std::uint32_t inFlightCount(std::string_view pool) const;

    /*!
        Returns for each rank how many items of \a pool wait or run.
    */
    std::array<std::uint32_t, rankCount> countOpenItems(std::string_view pool) const;
    std::uint32_t slotLimit(std::string_view pool) const;

private:
    struct AccountQueue
    {
        std::deque<Ticket> tickets;
        double normalizedCost = 0.0; //!< Cost served so far, divided by the share.
        double waitingCost = 0.0; //!< Total cost of the waiting items.
        double share = 1.0; //!< Weight of the account within its rank.
        double arrivalCost = 0.0; //!< Exponentially decaying sum of the cost submitted.
        std::uint32_t running = 0; //!< Dispatched items that are not finished.
    };
    struct RankQueue
    {
        std::map<std::string, AccountQueue, std::less<>> accounts;
        std::size_t waitingCount = 0;
        double waitingCost = 0.0; //!< Total cost of the waiting items.
        double floorCredit = 0.0; //!< Cost that the floor still guarantees to this rank.
        double virtualTime = 0.0; //!< Largest normalizedCost at which an account was served.
        double arrivalCost = 0.0; //!< Exponentially decaying sum of the cost submitted.
        //! Decaying sum of the cost dispatched for this rank. Divided by busySeconds, it is the
        //! service rate of the rank while it had waiting items.
        double busyCost = 0.0;
        double busySeconds = 0.0; //!< Decaying sum of the time in which items of the rank waited.
    };
    struct Pool
    {
        std::array<RankQueue, rankCount> ranks;
        std::uint32_t inFlightCount = 0;
        std::uint32_t limit = 0; //!< Slots that this node may use, including borrowed ones.
        std::uint32_t ownLimit = 0; //!< The limit without borrowed slots.
        std::uint32_t liveNodes = 1;
        //! Decaying sum of the cost of finished items. Divided by servedSeconds, it is the mean
        //! cost per second and slot.
        double servedCost = 0.0;
        double servedSeconds = 0.0; //!< Decaying sum of the run times of finished items.
        //! Decaying sum of the cost finished while items waited. Divided by busySeconds, it is
        //! the service rate of the whole node.
        double busyCost = 0.0;
        double busySeconds = 0.0; //!< Decaying sum of the time in which items waited.
        Timestamp ratesUpdatedAt {};
    };
    struct Entry
    {
        WorkItem item;
        double cost = 0.0;
        double paidCredit = 0.0; //!< Return value of chargeRank() for the item.
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
