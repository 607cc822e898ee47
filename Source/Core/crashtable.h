#pragma once

#include "Core/ports.h"

#include <cstdint>
#include <unordered_map>

namespace sesame {

struct CrashCount
{
    std::int64_t crashes = 0; //!< Engines that went down while they ran the request.
    std::int64_t successes = 0;
};

struct CrashTableOptions
{
    std::int64_t crashLimit = 3; //!< From this count on the request is refused.
    Duration retention {std::chrono::seconds(60)}; //!< After the last crash.
    std::size_t maxEntries = 4096;
};

/*!
    Recognises requests that bring engines down, by a fingerprint of path, account and body.

    All requests of an engine that goes down are counted; a request that has ever succeeded since
    is innocent.
*/
class CrashTable
{
public:
    explicit CrashTable(CrashTableOptions options = {}) : m_options(options) { }

    void recordCrash(std::uint64_t fingerprint, Timestamp now);

    /*!
        Counts a success; requests that were never suspected are not stored.
    */
    void recordSuccess(std::uint64_t fingerprint);

    /*!
        Replaces what the peers have counted for \a fingerprint together.
    */
    void setPeerCount(std::uint64_t fingerprint, CrashCount count, Timestamp now);

    bool isRefused(std::uint64_t fingerprint) const;
    void removeExpired(Timestamp now);

    /*!
        Calls \a visit for each fingerprint that this node has counted.
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
