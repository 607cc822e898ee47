#include "Core/Streams/streamorigins.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace sesame {

namespace {

bool contains(const StreamOriginRecord &record, const std::string &service,
              const std::string &version)
{
    const auto found = record.services.find(service);
    return found != record.services.end() && found->second.contains(version);
}

} // namespace

std::string StreamOrigins::recordName(const std::string &attempt)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits(attempt.data(), attempt.size())));
    return text.data();
}

void StreamOrigins::noteVersion(const std::string &service, const std::string &version,
                                Timestamp now)
{
    m_versions[{service, version}] = now;
}

bool StreamOrigins::mayBegin(const std::string &service, const std::string &version) const
{
    const bool isOnly = !m_stored.services.contains(service) && !hasSeveralVersions(service);
    return isOnly || contains(m_stored, service, version);
}

bool StreamOrigins::hasSeveralVersions(const std::string &service) const
{
    auto it = m_versions.lower_bound({service, {}});
    return it != m_versions.end() && ++it != m_versions.end() && it->first.first == service;
}

void StreamOrigins::begin(const std::string &attempt, const std::string &service,
                          const std::string &version, Timestamp now)
{
    m_origins[recordName(attempt)] = {.service = service, .version = version, .expiry = {}};
    noteVersion(service, version, now);
}

void StreamOrigins::end(const std::string &attempt, bool isComplete, Timestamp now)
{
    const auto found = m_origins.find(recordName(attempt));
    if (found == m_origins.end())
        return;
    found->second.expiry = now + m_options.retention;
    found->second.recordExpiry = now
            + (isComplete ? m_options.completedRetention : m_options.retention);
}

std::optional<std::set<std::string>>
StreamOrigins::earlierVersions(const std::string &service) const
{
    if (!m_earlierVersions)
        return std::nullopt;
    const auto found = m_earlierVersions->find(service);
    return found == m_earlierVersions->end() ? std::set<std::string>() : found->second;
}

std::optional<StreamOriginReply> StreamOrigins::reply(const std::string &service,
                                                      const std::string &name) const
{
    StreamOriginReply reply {.version = {}, .earlierVersions = earlierVersions(service)};
    const auto found = m_origins.find(name);
    if (found == m_origins.end())
        return reply;
    if (found->second.service != service)
        return std::nullopt;
    reply.version = found->second.version;
    return reply;
}

std::optional<std::string> StreamOrigins::find(const std::string &service,
                                               const std::string &attempt) const
{
    const auto found = m_origins.find(recordName(attempt));
    if (found == m_origins.end() || found->second.service != service)
        return std::nullopt;
    return found->second.version;
}

bool StreamOrigins::isFresh(const StreamOriginRecord &record, std::int64_t commonMillis) const
{
    const Duration maxAge = m_options.retention + 2 * m_options.renewInterval;
    return std::chrono::milliseconds(commonMillis - record.renewedMillis) <= maxAge;
}

/*!
    Returns the version that a reply or a record names for \a attempt.
*/
std::optional<std::string> StreamOrigins::findNamed(const std::string &service,
                                                    const std::string &attempt,
                                                    const StreamOriginEvidence &evidence) const
{
    for (const auto &[node, reply] : evidence.replies) {
        if (reply.version)
            return reply.version;
    }
    if (!evidence.records)
        return std::nullopt;
    const std::string name = recordName(attempt);
    for (const auto &[node, record] : evidence.records->byNode) {
        const auto found = record.services.find(service);
        if (found == record.services.end() || !isFresh(record, evidence.records->readMillis))
            continue;
        for (const auto &[version, attempts] : found->second) {
            if (attempts.contains(name))
                return version;
        }
    }
    return std::nullopt;
}

/*!
    Adds the versions at which \a node may have begun a stream of \a service that neither a reply
    nor a record names to \a versions. Returns false if they are not known.
*/
bool StreamOrigins::addPossibleVersions(const std::string &service, const std::string &node,
                                        const StreamOriginEvidence &evidence,
                                        std::set<std::string> &versions) const
{
    const auto reply = evidence.replies.find(node);
    if (reply != evidence.replies.end() && reply->second.earlierVersions) {
        versions.insert(reply->second.earlierVersions->begin(),
                        reply->second.earlierVersions->end());
        return true;
    }
    const StreamOriginRecords &records = *evidence.records;
    const auto found = records.byNode.find(node);
    if (found == records.byNode.end())
        return false;
    const StreamOriginRecord &record = found->second;
    // The streams of a node that has left long ago are not taken up any more.
    if (!isFresh(record, records.readMillis))
        return !evidence.nodes.contains(node);
    if (record.era != records.era || !record.isComplete)
        return false;
    const auto known = record.services.find(service);
    if (known != record.services.end()) {
        for (const auto &[version, attempts] : known->second)
            versions.insert(version);
    }
    return true;
}

std::optional<std::string> StreamOrigins::find(const std::string &service,
                                               const std::string &attempt,
                                               const StreamOriginEvidence &evidence) const
{
    if (auto version = find(service, attempt))
        return version;
    if (auto version = findNamed(service, attempt, evidence))
        return version;
    if (!evidence.records)
        return std::nullopt;
    std::set<std::string> versions;
    for (const auto &[node, record] : evidence.records->byNode) {
        const auto found = record.services.find(service);
        if (found == record.services.end() || !isFresh(record, evidence.records->readMillis))
            continue;
        for (const auto &[version, attempts] : found->second)
            versions.insert(version);
    }
    const auto first = m_versions.lower_bound({service, {}});
    for (auto it = first; it != m_versions.end() && it->first.first == service; ++it)
        versions.insert(it->first.second);
    if (versions.size() == 1)
        return *versions.begin();
    return attempt.empty() ? std::nullopt : findOnlyPossible(service, evidence);
}

/*!
    Returns the version of a stream that neither a reply nor a record names, if all processes that
    may have begun it can only have used the same one.
*/
std::optional<std::string>
StreamOrigins::findOnlyPossible(const std::string &service,
                                const StreamOriginEvidence &evidence) const
{
    std::optional<std::set<std::string>> versions = earlierVersions(service);
    if (!versions)
        return std::nullopt;
    std::set<std::string> nodes = evidence.nodes;
    for (const auto &[node, record] : evidence.records->byNode)
        nodes.insert(node);
    for (const std::string &node : nodes) {
        if (!addPossibleVersions(service, node, evidence, *versions) || versions->size() > 1)
            return std::nullopt;
    }
    return versions->empty() ? std::nullopt : std::optional(*versions->begin());
}

bool StreamOrigins::hasUnrecordedVersion() const
{
    return std::any_of(m_versions.begin(), m_versions.end(), [this](const auto &item) {
        return !contains(m_stored, item.first.first, item.first.second);
    });
}

StreamOriginRecord StreamOrigins::makeRecord(std::int64_t commonMillis, std::uint64_t era) const
{
    StreamOriginRecord record {
            .renewedMillis = commonMillis, .era = era, .isComplete = m_earlierVersions.has_value()};
    for (const auto &[key, seenAt] : m_versions)
        record.services[key.first][key.second] = {};
    for (const auto &[name, origin] : m_origins) {
        if (!origin.isRecorded)
            continue;
        StreamOriginRecord::Versions &versions = record.services[origin.service];
        if (versions.size() > 1)
            versions[origin.version].insert(name);
    }
    return record;
}

bool StreamOrigins::isOutdated(const StreamOriginRecord &record) const
{
    const std::chrono::milliseconds age(record.renewedMillis - m_stored.renewedMillis);
    return age >= m_options.renewInterval || record.era != m_stored.era
            || record.isComplete != m_stored.isComplete || record.services != m_stored.services;
}

void StreamOrigins::adopt(const StreamOriginRecord &record, std::uint64_t era, Timestamp now)
{
    m_earlierExpiry = now + m_options.retention;
    m_earlierVersions.reset();
    if (record.era == era && record.isComplete)
        m_earlierVersions.emplace();
    for (const auto &[service, versions] : record.services) {
        for (const auto &[version, attempts] : versions) {
            noteVersion(service, version, now);
            if (m_earlierVersions)
                (*m_earlierVersions)[service].insert(version);
            for (const std::string &name : attempts)
                m_origins.try_emplace(name,
                                      Origin {.service = service,
                                              .version = version,
                                              .expiry = m_earlierExpiry,
                                              .recordExpiry = m_earlierExpiry});
        }
    }
}

void StreamOrigins::removeExpired(Timestamp now)
{
    for (auto &[name, origin] : m_origins)
        origin.isRecorded = !origin.recordExpiry || *origin.recordExpiry > now;
    std::erase_if(m_origins, [now](const auto &item) {
        return item.second.expiry && *item.second.expiry <= now;
    });
    std::erase_if(m_versions, [&](const auto &item) {
        return item.second + m_options.retention <= now;
    });
    if (!m_earlierExpiry)
        m_earlierExpiry = now + m_options.retention;
    if (*m_earlierExpiry <= now)
        m_earlierVersions.emplace();
}

} // namespace sesame
