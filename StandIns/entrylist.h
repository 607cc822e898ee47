#pragma once

#include "Core/ports.h"

#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    The entry addresses that a caller knows. They are read from /v1/entries and valid for the
    time to live (TTL) in the answer. Thread-safe.
*/
class EntryList
{
public:
    /*!
        \a initialUrls are the base URLs that are asked first. If \a isFixed is set, they are
        used without asking for others. \a randomSeed seeds the choice of entries.
    */
    EntryList(std::vector<std::string> initialUrls, bool isFixed, std::uint64_t randomSeed);

    /*!
        Returns the base URL of a randomly chosen entry, weighted by the entries' weights. Does not
        return \a avoided if there is another entry.
    */
    std::string choose(std::string_view avoided = {});

    /*!
        Ends the validity of the list before its TTL, because a known entry did not answer.
    */
    void expire();

private:
    struct Entry
    {
        std::string url;
        double weight = 1.0;
    };

    std::vector<Entry> fetch(const std::vector<std::string> &urls, Duration *ttl);
    void refresh();

    const std::vector<std::string> m_initialUrls;
    const bool m_isFixed;
    std::mutex m_mutex;
    std::mutex m_refreshMutex; //!< Held during a refresh, acquired before m_mutex.
    std::vector<Entry> m_entries;
    Timestamp m_validUntil;
    std::mt19937_64 m_random;
};

} // namespace sesame
