#pragma once

#include "Core/Placement/enginedelay.h"
#include "Core/engineentry.h"
#include "Core/ports.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sesame {

/*!
    Load that one or several nodes cause at an engine.
*/
struct EngineLoad
{
    int requests = 0; //!< Requests in progress.
    std::int64_t tokens = 0; //!< Tokens that these requests hold in the engine's memory.
    std::int64_t unreadTokens = 0; //!< Prompt tokens of requests that have no first event yet.
    DelaySums delay; //!< Delays that the nodes observed.
};

/*!
    Load that an engine states about itself.
*/
struct StatedLoad
{
    int running = 0; //!< Requests that it processes.
    int waiting = 0; //!< Requests that wait in it.
    int slots = 0; //!< Requests that it can process at the same time.
    //! Time that work takes on the machine at this moment, where 100 means as usual.
    std::optional<double> delayPercent {};

    int requests() const { return running + waiting; }
};

/*!
    State of one engine as this node knows it.
*/
struct EngineState
{
    EngineEntry entry;
    bool usable = true; //!< False if the engine is draining or has left.
    //! Until this time the engine is chosen only if all others are avoided too, because it
    //! recently failed a connection or had no capacity.
    Timestamp avoidUntil {};
    int connectFailures = 0; //!< Consecutive failures to connect.
    double failureRate = 0.0; //!< Moving average of the share of requests that failed.
    double firstByteMs = 0.0; //!< Moving average of the time to the first byte.
    EngineLoad ownLoad; //!< Load that this node causes.
    EngineLoad peerLoad; //!< Load that the other nodes reported.
    double usualPeerUnread = 0.0; //!< Moving average of the unread tokens that they reported.
    Timestamp peerLoadAt {}; //!< Time of the last report.
    Timestamp knownSince {}; //!< Time of the first report after the engine's boot was seen.
    StatedLoad statedLoad; //!< Load that the engine itself stated in a response at statedAt.
    Timestamp statedAt {}; //!< Zero if the engine has stated nothing.
    EngineDelay delay; //!< Forgotten with a new incarnation.

    /*!
        Returns the number of requests at the engine at \a now. If the engine has recently stated
        more than the nodes have counted, that number is used: reports of other nodes may be
        missing.
    */
    int requests(Timestamp now) const;

    /*!
        Replaces the load that the other nodes reported.
    */
    void setPeerLoad(const EngineLoad &load, Timestamp now);
};

/*!
    Engines that the store lists, with the load and the failures that this node has recorded.
*/
class EngineDirectory
{
public:
    /*!
        Adds the engine of \a entry, or updates it. A new incarnation or address resets the
        recorded failures.
    */
    void update(const EngineEntry &entry);

    /*!
        Makes the engine \a id unusable, and forgets it once it has no request of this node.
    */
    void remove(const std::string &id);

    /*!
        Returns the engines of \a service that may receive requests.
    */
    std::vector<EngineState *> findUsable(const std::string &service);

    /*!
        Returns the engine \a id, or null. Engines that have left stay known until their last
        request of this node has ended.
    */
    EngineState *find(const std::string &id);

    /*!
        Adds \a load to the load that this node causes at the engine \a id.
    */
    void addLoad(const std::string &id, EngineLoad load);
    void removeLoad(const std::string &id, EngineLoad load);

    /*!
        Removes \a tokens from the prompt tokens that the engine \a id has not read.
    */
    void removeUnread(const std::string &id, std::int64_t tokens);

    /*!
        Replaces the load that the peers cause at each engine by \a loads.
    */
    void setPeerLoads(const std::unordered_map<std::string, EngineLoad> &loads, Timestamp now);

    /*!
        Records a failed connection. The engine is avoided for a time that doubles with each
        consecutive failure, up to a limit.
    */
    void recordConnectFailure(const std::string &id, Timestamp now);

    /*!
        Records the result of a request and, if it succeeded, its time to the first byte.
    */
    void recordAnswer(const std::string &id, bool success, Duration firstByte);

    /*!
        Records the \a load that the engine \a id stated.
    */
    void recordStatedLoad(const std::string &id, const StatedLoad &load, Timestamp now);

    /*!
        Avoids the engine \a id for a short time after it refused a request for lack of capacity.
    */
    void recordNoCapacity(const std::string &id, Timestamp now);

    const std::map<std::string, EngineState> &engines() const { return m_engines; }

private:
    void removeIfUnused(const std::string &id);

    std::map<std::string, EngineState> m_engines;
};

} // namespace sesame
