#pragma once

#include "Core/Streams/streamoriginevidence.h"
#include "Core/ports.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace sesame {

struct StreamOriginOptions
{
    //! Time after which a stream is not taken up any more. The deadlines of callers are shorter.
    Duration retention {std::chrono::seconds(30)};
    //! Time for which records name a stream whose caller was sent all of it.
    Duration completedRetention {std::chrono::seconds(2)};
    //! Interval at which a node renews a record that does not change.
    Duration renewInterval {std::chrono::seconds(20)};
};

/*!
    Knows at which software version the streams of this node began, so that they go on at that
    version when their callers take them up. What two versions write does not fit together, and
    engines do not check it.

    A node writes its record to the store before it begins a stream at a version that the record
    does not contain. The records of all nodes therefore name every version at which a stream may
    have begun, also if all nodes were killed and the engines of that version have left.

    Attempts are not recorded while a service has one version, and later than they begin. A node
    that looks for one that no record names asks the others. Those that reply know what they began;
    the record of one that does not, for example because it stands still, tells the versions at
    which it may have begun the stream.
*/
class StreamOrigins
{
public:
    explicit StreamOrigins(StreamOriginOptions options = {}) : m_options(options) { }

    /*!
        Records that \a service has engines of \a version.
    */
    void noteVersion(const std::string &service, const std::string &version, Timestamp now);

    /*!
        Returns whether streams of \a service may begin at \a version: the stored record contains
        it, or no version of the service is recorded and only one is known. A node that cannot reach
        the store when it starts would otherwise begin no streams.
    */
    bool mayBegin(const std::string &service, const std::string &version) const;

    /*!
        Returns whether streams of \a service may have begun at several versions.
    */
    bool hasSeveralVersions(const std::string &service) const;

    /*!
        Records that the stream of the attempt \a attempt was sent to an engine of \a version of
        \a service, where it may begin or go on. It is recorded before its first event arrives, so
        that it is mostly stored by then.
    */
    void begin(const std::string &attempt, const std::string &service, const std::string &version,
               Timestamp now);

    /*!
        Records that the answer with the stream that \a attempt began has ended.
    */
    void end(const std::string &attempt, bool isComplete, Timestamp now);

    /*!
        Records that no stream of \a attempt has begun.
    */
    void forget(const std::string &attempt) { m_origins.erase(recordName(attempt)); }

    /*!
        Returns what this node replies to the question for the attempt that records call \a name, or
        std::nullopt if the stream belongs to another service than \a service.
    */
    std::optional<StreamOriginReply> reply(const std::string &service,
                                           const std::string &name) const;

    /*!
        Returns the version at which the stream of \a service that \a attempt began goes on, or
        std::nullopt if this node has not begun it.
    */
    std::optional<std::string> find(const std::string &service, const std::string &attempt) const;

    /*!
        Returns the same, decided with \a evidence from the other nodes. Without a node that knows
        the attempt, the version is known if the stream can have begun at only one. If \a attempt is
        empty, the caller has named none.
    */
    std::optional<std::string> find(const std::string &service, const std::string &attempt,
                                    const StreamOriginEvidence &evidence) const;

    /*!
        Returns whether an engine has a version that the stored record lacks.
    */
    bool hasUnrecordedVersion() const;

    /*!
        Returns the record to store in the era \a era of the store.
    */
    StreamOriginRecord makeRecord(std::int64_t commonMillis, std::uint64_t era = 0) const;

    /*!
        Returns whether \a record, as made now, should replace the stored one.
    */
    bool isOutdated(const StreamOriginRecord &record) const;

    /*!
        Records that the store has \a record.
    */
    void confirm(StreamOriginRecord record) { m_stored = std::move(record); }

    /*!
        Records that this node has no earlier process. A missing record does not tell that: the
        store may have lost it in a restoration, or the process may not have reached the store.
    */
    void noteFirstProcess() { m_earlierVersions.emplace(); }

    /*!
        Takes over the record that an earlier process of this node has stored. \a era is that of the
        store.
    */
    void adopt(const StreamOriginRecord &record, std::uint64_t era, Timestamp now);

    /*!
        Removes what is not needed any more. Must be called regularly.
    */
    void removeExpired(Timestamp now);

    /*!
        Returns the name of \a attempt in records, which has a bounded length.
    */
    static std::string recordName(const std::string &attempt);

private:
    struct Origin
    {
        std::string service;
        std::string version;
        std::optional<Timestamp> expiry; //!< Unset while the stream goes on.
        //! Time until which records name the stream; unset while it goes on.
        std::optional<Timestamp> recordExpiry;
        bool isRecorded = true;
    };

    std::optional<std::set<std::string>> earlierVersions(const std::string &service) const;
    bool isFresh(const StreamOriginRecord &record, std::int64_t commonMillis) const;
    std::optional<std::string> findNamed(const std::string &service, const std::string &attempt,
                                         const StreamOriginEvidence &evidence) const;
    std::optional<std::string> findOnlyPossible(const std::string &service,
                                                const StreamOriginEvidence &evidence) const;
    bool addPossibleVersions(const std::string &service, const std::string &node,
                             const StreamOriginEvidence &evidence,
                             std::set<std::string> &versions) const;

    StreamOriginOptions m_options;
    std::map<std::string, Origin> m_origins; //!< By recordName().
    //! Time at which a version of a service was last seen, by both.
    std::map<std::pair<std::string, std::string>, Timestamp> m_versions;
    StreamOriginRecord m_stored;
    //! Versions at which earlier processes of this node may have begun streams, by service; unset
    //! if they are not known.
    std::optional<std::map<std::string, std::set<std::string>>> m_earlierVersions;
    //! Time from which streams of earlier processes are not taken up any more.
    std::optional<Timestamp> m_earlierExpiry;
};

} // namespace sesame
