#pragma once

#include "Core/ports.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace sesame {

struct CrashCount
{
    std::int64_t crashes = 0; //!< Engines that crashed while they ran the request.
    std::int64_t successes = 0; //!< Successful runs since the first recorded crash.
};

struct CrashTableOptions
{
    std::int64_t crashLimit = 3; //!< A request with this many crashes is refused.
    Duration retention {std::chrono::seconds(60)}; //!< Lifetime of an entry after its last crash.
    std::size_t maxEntries = 4096;
};

/*!
    Identifies requests that crash engines, by a fingerprint of path, account and body.

    A crash is counted for all requests that ran on the engine. A request that has succeeded since
    its first crash is not refused.
*/
class CrashTable
{
public:
    explicit CrashTable(CrashTableOptions options = {}) : m_options(options) { }

    void recordCrash(std::uint64_t fingerprint, Timestamp now);

    /*!
        Counts a success. Requests without a recorded crash are not stored.
    */
    void recordSuccess(std::uint64_t fingerprint);

    /*!
        Replaces the total \a count of all peers for \a fingerprint.
    */
    void setPeerCount(std::uint64_t fingerprint, CrashCount count, Timestamp now);

    /*!
        Returns what this node and its peers have counted for \a fingerprint.
    */
    CrashCount total(std::uint64_t fingerprint) const;

    /*!
        Returns whether the request \a fingerprint is refused because of its crashes.
    */
    bool isRefused(std::uint64_t fingerprint) const;

    /*!
        Returns how long the request \a fingerprint is refused unless it crashes another engine, or
        std::nullopt if it is not refused.
    */
    std::optional<Duration> refusalTime(std::uint64_t fingerprint, Timestamp now) const;

    /*!
        Removes entries whose retention time has passed.
    */
    void removeExpired(Timestamp now);

    /*!
        Calls \a visit for each fingerprint for which this node has counted crashes.
    */
    template <typename Visitor>
    void visitOwn(Visitor visit) const
    {
        for (const auto &[fingerprint, entry] : m_entries) {
            if (entry.own.crashes > 0)
                visit(fingerprint, entry.own);
        }
    }

private:
    struct Entry
    {
        CrashCount own;
        CrashCount peers;
        Timestamp lastChange;
    };

    Entry *findOrAdd(std::uint64_t fingerprint, Timestamp now);

    CrashTableOptions m_options;
    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace sesame
