#pragma once

#include "Core/Memory/memorybudget.h"
#include "Http/httptypes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace sesame {

class ServerConnection;

//! Why the server ended a request or connection of a client.
enum class CutReason {
    Memory, //!< The request was incomplete or the connection idle, and memory was short.
    Unread, //!< The client did not read its answer, and memory was short.
    NoRoom, //!< The request was complete, and there was no memory to run it.
    StoppedReading, //!< The client has read nothing for the idle timeout.
    Descriptors //!< The connection carried no complete request, and descriptors were short.
};

constexpr std::size_t cutReasonCount = 5;

/*!
    Returns the name of \a reason for logs and metrics.
*/
std::string_view cutReasonName(CutReason reason);

//! Numbers of cuts by CutReason.
using CutCounts = std::array<std::uint64_t, cutReasonCount>;

/*!
    Memory that the connections of one event loop hold for clients. Listeners share it. Connections
    that exceed the budget are cut from the event loop, not from the call that exceeded it.
*/
class ClientMemory
{
public:
    //! Called at most once a second with the cuts since the last call.
    using Reporter = std::function<void(const CutCounts &)>;

    /*!
        Creates a budget of \a limitBytes; 0 sets no limit.
    */
    ClientMemory(asio::io_context &context, std::size_t limitBytes, Reporter reporter = {});

    /*!
        Returns the bytes of a process with \a processBytes of memory that its clients may use, or 0
        if \a processBytes is 0. The rest is for the process itself, for the allocator, and for the
        bytes that the kernel has received.
    */
    static std::size_t shareOf(std::size_t processBytes);

    MemoryBudget::HolderId add(const std::weak_ptr<ServerConnection> &connection);
    void remove(MemoryBudget::HolderId holder);

    /*!
        Sets what \a holder holds, as MemoryBudget::charge() does. Returns whether there is room for
        it; if not, other holders have been cut already.
    */
    bool charge(MemoryBudget::HolderId holder, std::size_t bytes, HolderState state,
                MemoryBudget::Time progressAt);

    void recordCut(CutReason reason);

    const MemoryBudget &budget() const { return m_budget; }
    //! Returns the cuts since the start.
    const CutCounts &cuts() const { return m_cuts; }

private:
    void report();

    asio::io_context &m_context;
    MemoryBudget m_budget;
    Reporter m_reporter;
    asio::steady_timer m_reportTimer;
    std::unordered_map<MemoryBudget::HolderId, std::weak_ptr<ServerConnection>> m_connections;
    MemoryBudget::HolderId m_lastId = 0;
    CutCounts m_cuts {};
    CutCounts m_reported {};
    bool m_isReportPending = false;
};

/*!
    Makes the allocator return freed memory to the system. Without it, buffers of clients that have
    gone would still count against the memory of the process.
*/
void limitAllocatorSlack();

} // namespace sesame
