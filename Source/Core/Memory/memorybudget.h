#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace sesame {

//! What a holder of memory is doing, which decides whether it may be cut.
enum class HolderState {
    Idle, //!< A connection without a request.
    Incomplete, //!< A request that is still being received; it has not run.
    Working, //!< A complete request that is being handled. It is never cut.
    Unread //!< An answer that the client has not read yet.
};

/*!
    Bounds the bytes that a process holds for its clients, and decides which holders are cut when
   the bound is exceeded.

    Holders with more than smallBytes use at most three quarters of the limit, so that ordinary
   small requests never lack memory because of large ones. The holders that are cut are those with
   the largest product of bytes and time without progress.
*/
class MemoryBudget
{
public:
    using HolderId = std::uint64_t;
    using Time = std::chrono::steady_clock::time_point;

    //! Holders with at most this many bytes are small. Requests with prompts of 12,000 tokens are.
    static constexpr std::size_t smallBytes = 65'536;

    /*!
        Creates a budget of \a limitBytes; 0 sets no limit.
    */
    explicit MemoryBudget(std::size_t limitBytes) : m_limit(limitBytes) { }

    /*!
        Sets what \a holder holds. \a progressAt is the last time at which the client sent or read
        something. A holder that is not known is added.
    */
    void charge(HolderId holder, std::size_t bytes, HolderState state, Time progressAt);
    void remove(HolderId holder);

    /*!
        Returns the holders to cut so that the limit is kept, the first ones first. They count as
        released from then on. The result is empty while the limit is kept.
    */
    std::vector<HolderId> takeVictims(Time now);

    /*!
        Returns whether \a holder, which holds what was charged last, is within the limit after all
        victims are cut. Holders that may not be cut are refused by this when they begin to work.
    */
    bool hasRoomFor(HolderId holder) const;

    std::size_t heldBytes() const { return m_total; }
    std::size_t limitBytes() const { return m_limit; }

private:
    struct Holder
    {
        std::size_t bytes = 0;
        HolderState state = HolderState::Idle;
        Time progressAt;
        bool isVictim = false;
    };

    static bool isLarge(const Holder &holder) { return holder.bytes > smallBytes; }
    std::size_t largeLimit() const { return m_limit / 4 * 3; }
    void count(const Holder &holder);
    void uncount(const Holder &holder);

    std::size_t m_limit;
    std::size_t m_total = 0; //!< Bytes of all holders but victims.
    std::size_t m_large = 0; //!< Bytes of the large ones among them.
    std::unordered_map<HolderId, Holder> m_holders;
};

} // namespace sesame
