#pragma once

#include "Core/engineentry.h"
#include "Core/ports.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sesame {

/*!
    Requests and prompt tokens that some nodes have at one engine.
*/
struct EngineLoad
{
    int requests = 0;
    std::int64_t tokens = 0;
};

/*!
    What this node believes of one engine.
*/
struct EngineState
{
    EngineEntry entry;
    bool usable = true; //!< False once it is draining or gone.
    //! Not in the store's list since its outage, and gone at this time; zero if present.
    Timestamp removeAt {};
    Timestamp avoidUntil {}; //!< Connections or requests failed lately.
    int connectFailures = 0; //!< In a row, of connections.
    double failureRate = 0.0; //!< Moving average of the requests that it failed.
    double firstByteMs = 0.0; //!< Moving average of the time to the first byte.
    EngineLoad ownLoad; //!< Of this node.
    EngineLoad peerLoad; //!< As the other nodes reported them.
};

/*!
    The engines that the store lists, with what this node has seen of them.
*/
class EngineDirectory
{
public:
    /*!
        Takes a whole list. Engines that are not in it have left, unless \a graceEnd is set: their
        entries may have lapsed while the store was away, and they are kept until then.
    */
    void replaceAll(const std::vector<EngineEntry> &entries, std::optional<Timestamp> graceEnd);
    void update(const EngineEntry &entry);
    void remove(const std::string &id);

    /*!
        Marks the entry of \a id as missing; it may have lapsed while the store was away, and the
        engine is gone if it is not back at \a graceEnd.
    */
    void markMissing(const std::string &id, Timestamp graceEnd);

    /*!
        Drops engines whose entries did not come back after an outage of the store.
    */
    void removeExpired(Timestamp now);

    /*!
        Returns the engines of \a service that may receive requests.
    */
    std::vector<EngineState *> findUsable(const std::string &service);

    /*!
        Returns the engine \a id, or null. Engines that have left stay known until their last
        request of this node has ended.
    */
    EngineState *find(const std::string &id);

    void addLoad(const std::string &id, EngineLoad load);
    void removeLoad(const std::string &id, EngineLoad load);

    /*!
        Replaces what the peers have at each engine by \a loads.
    */
    void setPeerLoads(const std::unordered_map<std::string, EngineLoad> &loads);

    void recordConnectFailure(const std::string &id, Timestamp now);
    void recordAnswer(const std::string &id, bool success, Duration firstByte);

    /*!
        Keeps requests away from an engine that has stated that it has no room.
    */
    void recordNoCapacity(const std::string &id, Timestamp now);

    const std::map<std::string, EngineState> &engines() const { return m_engines; }

private:
    void removeIfUnused(const std::string &id);

    std::map<std::string, EngineState> m_engines;
};

} // namespace sesame
