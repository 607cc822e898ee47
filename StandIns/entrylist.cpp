#include "entrylist.h"

#include "Adapter/backendclient.h"
#include "Adapter/json.h"
#include "Adapter/systemclock.h"

#include <algorithm>

namespace sesame {

EntryList::EntryList(std::vector<std::string> initialUrls, bool isFixed, std::uint64_t randomSeed)
    : m_initialUrls(std::move(initialUrls)), m_isFixed(isFixed), m_random(randomSeed)
{
    for (const std::string &url : m_initialUrls)
        m_entries.push_back({.url = url});
}

std::string EntryList::choose(std::string_view avoided)
{
    if (!m_isFixed)
        refresh();
    const std::scoped_lock lock(m_mutex);
    std::vector<double> weights;
    double sum = 0.0;
    for (const Entry &entry : m_entries) {
        const bool usable = entry.url != avoided || m_entries.size() == 1;
        weights.push_back(usable ? entry.weight : 0.0);
        sum += weights.back();
    }
    if (sum <= 0.0)
        weights.assign(weights.size(), 1.0);
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    return m_entries[distribution(m_random)].url;
}

void EntryList::expire()
{
    const std::scoped_lock lock(m_mutex);
    m_validUntil = {};
}

void EntryList::refresh()
{
    const std::scoped_lock refreshLock(m_refreshMutex);
    std::vector<std::string> urls;
    {
        const std::scoped_lock lock(m_mutex);
        if (SystemClock().now() < m_validUntil)
            return;
        for (const Entry &entry : m_entries)
            urls.push_back(entry.url);
        std::shuffle(urls.begin(), urls.end(), m_random);
    }
    urls.insert(urls.end(), m_initialUrls.begin(), m_initialUrls.end());
    Duration ttl {};
    std::vector<Entry> entries = fetch(urls, &ttl);
    const std::scoped_lock lock(m_mutex);
    if (!entries.empty())
        m_entries = std::move(entries);
    m_validUntil = SystemClock().now() + ttl;
}

std::vector<EntryList::Entry> EntryList::fetch(const std::vector<std::string> &urls, Duration *ttl)
{
    constexpr std::chrono::milliseconds timeout(1000);
    // If no entry answers, callers keep the last known entries for this time.
    *ttl = std::chrono::milliseconds(500);
    for (const std::string &url : urls) {
        const BackendReply answer = callBackend(
                {.url = url + "/v1/entries", .headers = {}, .body = {}, .timeout = timeout});
        const JsonPtr body = parseJson(answer.reply.body);
        const json_t *list = json_object_get(body.get(), "entries");
        std::vector<Entry> entries;
        for (std::size_t n = 0; n < json_array_size(list); ++n) {
            const json_t *entry = json_array_get(list, n);
            entries.push_back({.url = jsonString(entry, "address"),
                               .weight = jsonNumber(entry, "weight", 1.0)});
        }
        if (entries.empty())
            continue;
        *ttl = std::chrono::seconds(jsonInteger(body.get(), "ttl_seconds", 1));
        return entries;
    }
    return {};
}

} // namespace sesame
