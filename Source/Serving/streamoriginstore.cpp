#include "Serving/streamoriginstore.h"

#include "Adapter/log.h"
#include "Core/storerevision.h"
#include "Serving/clocks.h"
#include "Serving/enginegate.h"

#include <algorithm>
#include <random>
#include <utility>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr const char *recordKind = "streams";
//! Shortest interval between two writes of a record. A stream whose first event arrives before it
//! is stored cannot be taken up if its node is killed.
constexpr Duration minWriteInterval = 100ms;
//! Interval between the writes of all nodes together, half of what the users' store takes.
constexpr Duration writeIntervalPerNode = 5ms;
//! Longest interval between writes at which a request waits for one.
constexpr Duration maxAwaitedInterval = 500ms;
//! Interval between two reads while lookups wait for the writes of other nodes.
constexpr Duration readInterval = 100ms;
//! Time after the interval of the writes in which the latest one is stored.
constexpr Duration writeMargin = 200ms;
//! Attempts in one question, which takes about 20 bytes for each in a datagram.
constexpr std::size_t maxQuestionAttempts = 500;
//! Age after which the record of a node that has left is removed.
constexpr std::int64_t forgottenMillis = 600'000;

StreamOriginRecord parseRecord(const json_t *content)
{
    StreamOriginRecord record;
    record.renewedMillis = jsonInteger(content, "renewedMillis");
    record.era = static_cast<std::uint64_t>(jsonInteger(content, "era"));
    record.isComplete = jsonBool(content, "complete");
    const char *service = nullptr;
    json_t *versions = nullptr;
    json_object_foreach(json_object_get(content, "services"), service, versions)
    {
        const char *version = nullptr;
        json_t *attempts = nullptr;
        json_object_foreach(versions, version, attempts)
        {
            std::set<std::string> &names = record.services[service][version];
            std::size_t i = 0;
            const json_t *name = nullptr;
            json_array_foreach(attempts, i, name)
            {
                if (json_is_string(name))
                    names.emplace(json_string_value(name));
            }
        }
    }
    return record;
}

JsonPtr formatRecord(const StreamOriginRecord &record)
{
    JsonPtr content(json_object());
    json_object_set_new(content.get(), "renewedMillis", json_integer(record.renewedMillis));
    json_object_set_new(content.get(), "era", json_integer(static_cast<json_int_t>(record.era)));
    json_object_set_new(content.get(), "complete", json_boolean(record.isComplete));
    json_t *services = json_object();
    for (const auto &[service, versions] : record.services) {
        json_t *entry = json_object();
        for (const auto &[version, attempts] : versions) {
            json_t *names = json_array();
            for (const std::string &name : attempts)
                json_array_append_new(names, json_string(name.c_str()));
            json_object_set_new(entry, version.c_str(), names);
        }
        json_object_set_new(services, service.c_str(), entry);
    }
    json_object_set_new(content.get(), "services", services);
    return content;
}

} // namespace

StreamOriginStore::StreamOriginStore(ServingState &state, std::unique_ptr<ObjectStoreClient> writer,
                                     std::unique_ptr<ObjectStoreClient> reader, AskNode askNode)
    : m_state(state), m_writer(std::move(writer)), m_reader(std::move(reader)),
      m_askNode(std::move(askNode)), m_readTimer(state.context)
{
}

Duration StreamOriginStore::writeInterval() const
{
    return std::max(minWriteInterval, writeIntervalPerNode * m_state.quotaShares.nodes);
}

void StreamOriginStore::tick()
{
    const Timestamp now = steadyNow();
    // Engines that may receive requests, or still have some of this node.
    for (const auto &[id, engine] : m_state.engines.engines())
        noteEngine(engine.entry);
    noteRestoration();
    m_state.streamOrigins.removeExpired(now);
    if (!m_isAdopted)
        scheduleRead();
    else if (!m_isWriting && now >= m_retryTime
             && (now >= m_nextWriteTime || m_state.streamOrigins.hasUnrecordedVersion()))
        write();
}

void StreamOriginStore::noteEngine(const EngineEntry &engine)
{
    if (m_state.config && m_state.config->findService(engine.service))
        m_state.streamOrigins.noteVersion(engine.service, engine.version, steadyNow());
}

/*!
    Has the record written again after the store was restored from an older copy, which may lack it.
    The nodes write at different times within the interval of their writes.
*/
void StreamOriginStore::noteRestoration()
{
    const std::uint64_t era = StoreRevision::fromOrdinal(m_state.engineReplica.stateRevision()).era;
    if (era <= m_era)
        return;
    if (std::exchange(m_era, era) == 0)
        return;
    m_state.streamOrigins.confirm({});
    std::uniform_real_distribution<double> part(0.0, 1.0);
    m_retryTime = steadyNow()
            + std::chrono::duration_cast<Duration>(writeInterval() * part(m_state.random));
}

void StreamOriginStore::write()
{
    const StreamOriginRecord record = m_state.streamOrigins.makeRecord(m_state.commonMillis(),
                                                                       m_era);
    ++m_writeCount;
    if (record.services.empty() || !m_state.streamOrigins.isOutdated(record)) {
        completeStoredWaits(true);
        return;
    }
    m_isWriting = true;
    m_nextWriteTime = steadyNow() + writeInterval();
    const JsonPtr content = formatRecord(record);
    const auto done = [this, record](const StoreWriteResult &result) {
        m_isWriting = false;
        if (result.status == StoreCallStatus::Ok && result.era >= m_era) {
            m_revision = result.revision;
            m_state.streamOrigins.confirm(record);
            completeStoredWaits(true);
            return;
        }
        // Only this node writes its record, so that a conflict is with an earlier write of its own.
        // The next write follows at once.
        if (result.status == StoreCallStatus::Conflict
            || result.status == StoreCallStatus::NotFound) {
            m_revision = result.status == StoreCallStatus::Conflict ? result.revision : 0;
            m_nextWriteTime = {};
            return;
        }
        m_retryTime = steadyNow() + writeInterval();
        completeStoredWaits(false);
    };
    // A write without an answer may be executed seconds later. It must not replace a later one,
    // because other nodes rely on the versions that the record names.
    if (m_revision != 0)
        m_writer->replace(recordKind, m_state.settings.node, content.get(), m_revision, done);
    else
        m_writer->create(recordKind, m_state.settings.node, content.get(), done);
}

/*!
    Completes what waits for the latest write or an earlier one.
*/
void StreamOriginStore::completeStoredWaits(bool isStored)
{
    for (StoredWait &wait : std::exchange(m_storedWaits, {})) {
        if (wait.write <= m_writeCount)
            wait.completion(isStored);
        else
            m_storedWaits.push_back(std::move(wait));
    }
}

void StreamOriginStore::whenStored(std::function<void(bool)> completion)
{
    if (writeInterval() > maxAwaitedInterval || !m_isAdopted)
        completion(false);
    else
        m_storedWaits.push_back({.write = m_writeCount + 1, .completion = std::move(completion)});
}

void StreamOriginStore::find(const std::string &service, const std::string &attempt,
                             Completion completion)
{
    auto version = m_state.streamOrigins.find(service, attempt);
    if (version && EngineGate(m_state).knowsVersions()) {
        completion(std::move(version));
        return;
    }
    m_lookups.push_back({.service = service,
                         .attempt = attempt,
                         .completion = std::move(completion),
                         .firstRead = m_readCount + 1,
                         .deadline = steadyNow() + writeInterval() + writeMargin});
    if (!m_isReading)
        read();
}

void StreamOriginStore::scheduleRead()
{
    if (m_isReading || std::exchange(m_isReadScheduled, true))
        return;
    m_readTimer.expires_after(readInterval);
    m_readTimer.async_wait([this](const boost::system::error_code &ec) {
        m_isReadScheduled = false;
        if (!ec && !m_isReading)
            read();
    });
}

void StreamOriginStore::read()
{
    m_isReading = true;
    ++m_readCount;
    m_reader->list(recordKind, false, [this, start = steadyNow()](const StoreReadResult &result) {
        m_isReading = false;
        onRead(result, start);
        const bool hasNew = std::any_of(m_lookups.begin(), m_lookups.end(),
                                        [this](const Lookup &lookup) {
                                            return lookup.firstRead > m_readCount;
                                        });
        if (hasNew)
            read();
        else if (!m_lookups.empty())
            scheduleRead();
    });
}

void StreamOriginStore::onRead(const StoreReadResult &result, Timestamp start)
{
    if (result.status == StoreCallStatus::Ok) {
        if (!std::exchange(m_isAdopted, true))
            adoptOwnRecord(result);
        removeForgotten(result);
        takeRecords(result);
    }
    completeLookups(start);
    askNodes();
}

void StreamOriginStore::adoptOwnRecord(const StoreReadResult &result)
{
    const auto found = std::find_if(
            result.objects.begin(), result.objects.end(), [this](const StoredObject &object) {
                return object.name == m_state.settings.node && !object.removed;
            });
    if (found != result.objects.end()) {
        m_revision = found->revision;
        m_state.streamOrigins.adopt(parseRecord(found->content.get()), result.era, steadyNow());
    } else if (m_state.settings.isFirstStart) {
        m_state.streamOrigins.noteFirstProcess();
    }
}

/*!
    Removes a record of a node that has left long ago.
*/
void StreamOriginStore::removeForgotten(const StoreReadResult &result)
{
    const std::int64_t oldest = m_state.commonMillis() - forgottenMillis;
    const auto found = std::find_if(
            result.objects.begin(), result.objects.end(), [&](const StoredObject &object) {
                return object.name != m_state.settings.node && !object.removed
                        && jsonInteger(object.content.get(), "renewedMillis") < oldest;
            });
    if (found != result.objects.end())
        m_reader->remove(recordKind, found->name, [](const StoreWriteResult &) {});
}

void StreamOriginStore::takeRecords(const StoreReadResult &result)
{
    if (!result.isComplete || m_lookups.empty())
        return;
    m_recordsRead = m_readCount;
    m_records.emplace();
    m_records->era = result.era;
    m_records->readMillis = m_state.commonMillis();
    for (const StoredObject &object : result.objects) {
        if (!object.removed && object.name != m_state.settings.node)
            m_records->byNode[object.name] = parseRecord(object.content.get());
    }
}

/*!
    Returns the version that \a lookup has found, or std::nullopt if it is not known. \a nodes are
    the other nodes.
*/
std::optional<std::string> StreamOriginStore::decide(const Lookup &lookup,
                                                     const std::set<std::string> &nodes) const
{
    const bool isRead = m_records && lookup.firstRead <= m_recordsRead;
    return m_state.streamOrigins.find(
            lookup.service, lookup.attempt,
            {.records = isRead ? &*m_records : nullptr, .replies = lookup.replies, .nodes = nodes});
}

/*!
    Completes the lookups that are decided. If \a readStart is given, a read that began then has
    ended, and those that have waited long enough for the writes of other nodes are completed, too.
*/
void StreamOriginStore::completeLookups(std::optional<Timestamp> readStart)
{
    if (m_lookups.empty())
        return;
    std::set<std::string> nodes;
    for (const auto &[node, peer] : m_state.peers.peers())
        nodes.insert(node);
    const bool knowsVersions = EngineGate(m_state).knowsVersions();
    for (Lookup &lookup : std::exchange(m_lookups, {})) {
        std::optional<std::string> version;
        if (knowsVersions)
            version = decide(lookup, nodes);
        if (!version && !(readStart && *readStart >= lookup.deadline)) {
            m_lookups.push_back(std::move(lookup));
            continue;
        }
        logEvent(LogLevel::Info, "stream.looked_up",
                 {{"resumes", lookup.attempt},
                  {"service", lookup.service},
                  {"version", version.value_or(std::string())},
                  {"nodes", static_cast<std::int64_t>(nodes.size())},
                  {"replies", static_cast<std::int64_t>(lookup.replies.size())}});
        lookup.completion(std::move(version));
    }
    if (m_lookups.empty())
        m_records.reset();
}

/*!
    Asks the nodes that have not replied for the streams of the lookups.
*/
void StreamOriginStore::askNodes()
{
    if (m_lookups.empty())
        return;
    for (const auto &[node, peer] : m_state.peers.peers()) {
        wire::StreamQuestion question;
        std::size_t n = 0;
        for (const Lookup &lookup : m_lookups) {
            if (lookup.attempt.empty() || lookup.replies.contains(node))
                continue;
            question.attempts[lookup.service].insert(StreamOrigins::recordName(lookup.attempt));
            if (++n < maxQuestionAttempts)
                continue;
            m_askNode(node, std::exchange(question, {}));
            n = 0;
        }
        if (n > 0)
            m_askNode(node, question);
    }
}

wire::StreamReply StreamOriginStore::answer(const wire::StreamQuestion &question) const
{
    wire::StreamReply reply;
    bool knowsEarlier = true;
    for (const auto &[service, names] : question.attempts) {
        for (const std::string &name : names) {
            const auto origin = m_state.streamOrigins.reply(service, name);
            if (!origin)
                continue;
            if (origin->version)
                reply.versions[service][name] = *origin->version;
            else
                reply.unknown[service].insert(name);
            knowsEarlier = knowsEarlier && origin->earlierVersions;
            if (origin->earlierVersions)
                reply.earlierVersions[service] = *origin->earlierVersions;
        }
    }
    reply.__isset.earlierVersions = knowsEarlier;
    return reply;
}

void StreamOriginStore::handleReply(const std::string &node, const wire::StreamReply &reply)
{
    bool isDecisive = false;
    for (Lookup &lookup : m_lookups) {
        const std::string name = StreamOrigins::recordName(lookup.attempt);
        const auto versions = reply.versions.find(lookup.service);
        const auto unknown = reply.unknown.find(lookup.service);
        StreamOriginReply origin;
        if (versions != reply.versions.end() && versions->second.contains(name))
            origin.version = versions->second.at(name);
        else if (unknown == reply.unknown.end() || !unknown->second.contains(name))
            continue;
        const auto earlier = reply.earlierVersions.find(lookup.service);
        if (reply.__isset.earlierVersions && earlier != reply.earlierVersions.end())
            origin.earlierVersions = earlier->second;
        isDecisive = isDecisive || origin.version
                || lookup.replies.size() + 1 == m_state.peers.peers().size();
        lookup.replies[node] = std::move(origin);
    }
    // What replies leave open is decided after the next read.
    if (isDecisive)
        completeLookups();
}

} // namespace sesame
