#pragma once

#include "Core/enginenotices.h"
#include "Core/fleetconfig.h"
#include "Core/market.h"
#include "Core/ports.h"
#include "Core/rumour.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    What runs on an instance: an entry node, a model engine or a plain service.
*/
enum class InstanceKind : std::uint8_t { Entry, Engine, Service };

/*!
    One entry of the cloud API's list of instances.
*/
struct ListedInstance
{
    std::string id;
    std::int64_t incarnation = 0;
    InstanceKind kind = InstanceKind::Engine;
    std::string className;
    std::string service; //!< Only for InstanceKind::Service.
    std::string address; //!< Base URL, for example "http://10.0.0.7:8000".
    std::string zone;
    Market market = Market::Reclaimable;
    double pricePerHour = 0.0;
    bool leaving = false;
};

/*!
    A reclaim notice of the cloud API.
*/
struct ReclaimNotice
{
    std::int64_t sequence = 0;
    std::string instance; //!< Empty if the notice is for all instances of the zone.
    std::string zone;
    WallMillis deadline = 0;
};

/*!
    Load of a model engine as the engine reports it.
*/
struct LoadReport
{
    std::int64_t incarnation = 0;
    std::uint32_t queued = 0; //!< Requests in the queue.
    std::uint32_t running = 0; //!< Requests being executed.
    std::uint32_t slots = 0; //!< Requests that can be executed at the same time.
    double tokenIntervalMs = 0.0; //!< Recent interval between the tokens of a stream.
    double prefillTokensPerSecond = 0.0;
    std::vector<std::string> models; //!< Loaded models; empty if not reported.
    bool leaving = false;
    Duration age {}; //!< Age of the values on receipt.
};

/*!
    State of a backend server's current incarnation.
*/
enum class BackendState : std::uint8_t {
    Active,
    Leaving, //!< Receives no new work; final for this incarnation.
    Gone //!< No longer in the cloud API's list.
};

/*!
    Snapshot of a backend server for routing.
*/
struct BackendView
{
    std::string id;
    std::int64_t incarnation = 0;
    std::string className;
    std::string address;
    std::string zone;
    Market market = Market::Reclaimable;
    double pricePerHour = 0.0;
    std::optional<LoadReport> report;
    Duration reportAge {}; //!< Time since the engine measured the values of the report.
    std::uint32_t sentSinceReport = 0; //!< Calls by this node begun after the report's values.
    std::uint32_t inFlight = 0; //!< Calls by this node that have not ended.
    double loadShare = 1.0; //!< Fraction of the usual load; below 1 during recovery.
};

/*!
    What a call or a health check shows about the health of a backend server.
*/
enum class HealthResult : std::uint8_t {
    Success,
    Failure, //!< Fault of the backend server: no connection, no answer or an internal error.
    Neutral //!< No conclusion about the backend server, for example after a cancellation.
};

/*!
    Limits of a BackendTable.
*/
struct BackendOptions
{
    Duration recoveryGrace = std::chrono::seconds(10); //!< Healthy time before the full share.
    double recoveringShare = 0.1; //!< Fraction of the usual load during recovery.
    std::uint32_t unhealthyThreshold = 3; //!< Consecutive failures that make a server unhealthy.
    //! A reclaim notice applies to every incarnation that starts on its instance before the
    //! deadline, but for no longer than this time, in case the clocks differ.
    Duration maxNoticeDuration = std::chrono::minutes(5);
    Duration goneRetention = std::chrono::hours(1); //!< How long gone servers are kept.
};

/*!
    Tracks the known backend servers and which of them may receive new work.

    The sources are the cloud API's list, which is updated with a delay, its reclaim notices,
    rumours from peers, and the backend servers' own reports. Functions that detect a leave return
    the rumours to be announced to the peers.
*/
class BackendTable
{
public:
    explicit BackendTable(BackendOptions options);

    /*!
        Sets how long a recovering backend server must be healthy before it gets its full share.
    */
    void setRecoveryGrace(Duration grace) { m_options.recoveryGrace = grace; }

    /*!
        Applies the cloud API's list. An incarnation that is leaving stays so, whatever the list
        says. An empty \a list is ignored, because it would take all backend servers out of service
        at once. Returns the rumours about leaves that were not known yet.
    */
    std::vector<Rumour> applyList(std::span<const ListedInstance> list, Timestamp now);

    /*!
        Applies a reclaim notice to the instances that it names. Returns the rumours about leaves
        that were not known yet.
    */
    std::vector<Rumour> applyNotice(const ReclaimNotice &notice, Timestamp now, WallMillis wallNow);

    /*!
        Applies a rumour of kind BackendLeaving; other kinds are ignored.
    */
    void applyRumour(const Rumour &rumour, Timestamp now, WallMillis wallNow);

    /*!
        Applies the answer of engine \a id to a load query, which counts as a successful health
        check. Returns a rumour if the report shows a leave that was not known yet.
    */
    std::optional<Rumour> applyReport(std::string_view id, const LoadReport &report, Timestamp now);

    /*!
        Marks \a incarnation of the backend server \a id as leaving, for example because it refused
        a call for that reason. Returns a rumour if the leave was not known yet.
    */
    std::optional<Rumour> markLeaving(std::string_view id, std::int64_t incarnation, Timestamp now);

    /*!
        Records the result of a health check that is not part of a call, such as a load query.
    */
    void recordHealth(std::string_view id, HealthResult health, Timestamp now);

    /*!
        Returns the engines of \a classes that may receive work for \a model. Unhealthy engines are
        excluded unless all are unhealthy.
    */
    std::vector<BackendView> usableEngines(std::string_view model,
                                           std::span<const std::string> classes, Timestamp now);

    /*!
        Returns the backend servers of \a service that may receive work. Unhealthy servers are
        excluded unless all are unhealthy.
    */
    std::vector<BackendView> usableServices(std::string_view service, Timestamp now);

    /*!
        Returns all engines except those that are gone, for load queries.
    */
    std::vector<BackendView> engines(Timestamp now) const;

    /*!
        Records that a call to \a incarnation of \a id is about to be sent. Returns false if this
        incarnation may not receive work; the call must then not be sent.
    */
    bool beginCall(std::string_view id, std::int64_t incarnation, Timestamp now);

    /*!
        Records the end of a call and what it shows about the backend server's health.
    */
    void endCall(std::string_view id, std::int64_t incarnation, HealthResult health, Timestamp now);

    /*!
        Records that \a incarnation of \a id turned a call away and wants none from this node for
        \a wait. \a random between 0 and 1 determines the delay of the return. Returns the time for
        which nothing is sent.
    */
    Duration recordPause(std::string_view id, std::int64_t incarnation, Duration wait,
                         double random, Timestamp now);

    /*!
        Returns the state of the backend server \a id, or std::nullopt if it is unknown.
    */
    std::optional<BackendState> state(std::string_view id) const;

    /*!
        Returns how often backend servers changed between a full and a reduced share of the load.
    */
    std::uint64_t shareChanges() const { return m_shareChanges; }

private:
    struct Server
    {
        ListedInstance listed;
        BackendState state = BackendState::Active;
        Timestamp stateSince; //!< Time of the last state change.
        std::optional<LoadReport> report;
        Timestamp measuredAt; //!< When the engine measured the report's values.
        std::deque<Timestamp> callsSinceReport; //!< Start times of the calls after measuredAt.
        std::uint32_t inFlight = 0;
        std::uint32_t consecutiveFailures = 0;
        std::optional<Timestamp> recoveringSince; //!< When it became healthy again.
        bool healthy = true;
        bool hasFullShare = true;
    };
    struct Leave
    {
        std::int64_t highestIncarnation = 0; //!< All incarnations up to this one are leaving.
        Timestamp recordedAt;
        Timestamp appliesUntil; //!< Incarnations that start before this time are also leaving.
    };

    Server *findServer(std::string_view id);
    Server &addServer(const ListedInstance &listed, Timestamp now);
    void applyListed(const ListedInstance &listed, Timestamp now, std::vector<Rumour> &rumours);
    void startIncarnation(Server &server, std::int64_t incarnation, Timestamp now);
    bool isLeaving(std::string_view id, std::int64_t incarnation) const;
    bool recordLeave(std::string_view id, std::int64_t incarnation, Timestamp now);
    bool recordReclaim(std::string_view id, std::int64_t incarnation, Duration duration,
                       Timestamp now);
    Duration noticeDuration(WallMillis deadline, WallMillis wallNow) const;
    void updateShare(Server &server, Timestamp now);
    void setFullShare(Server &server, bool isFull);
    template <typename Predicate>
    std::vector<BackendView> selectUsable(Predicate matches, Timestamp now);
    bool mayReceive(const Server &server, Timestamp now) const;
    BackendView makeView(const Server &server, Timestamp now) const;
    void removeExpired(Timestamp now);

    BackendOptions m_options;
    std::map<std::string, Server, std::less<>> m_servers;
    std::map<std::string, Leave, std::less<>> m_leaves;
    EngineNotices m_notices; //!< Pauses that backend servers asked for.
    std::uint64_t m_shareChanges = 0;
};

} // namespace sesame
