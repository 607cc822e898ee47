#pragma once

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
    What a model engine says about its load.
*/
struct LoadReport
{
    std::int64_t incarnation = 0;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t slots = 0;
    double tokenIntervalMs = 0.0; //!< Recent time between tokens of one stream.
    double prefillTokensPerSecond = 0.0;
    std::vector<std::string> models; //!< Loaded models; empty if the engine does not say.
    bool leaving = false;
    Duration age {}; //!< Age of the values when they were received.
};

enum class BackendState : std::uint8_t {
    Active,
    Leaving, //!< Final for this incarnation.
    Gone //!< No longer listed.
};

/*!
    A backend server as routing sees it at one moment.
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
    Duration reportAge {}; //!< Time since the values of the report were measured.
    std::uint32_t sentSinceReport = 0; //!< Calls of this node that the report cannot include.
    std::uint32_t inFlight = 0; //!< Calls of this node.
    double loadShare = 1.0; //!< Part of the usual load it may get; below 1 while it recovers.
};

enum class HealthResult : std::uint8_t {
    Success,
    Failure, //!< The backend server is at fault: no connection, no answer, an internal error.
    Neutral //!< Says nothing about the backend server, for example a cancel.
};

struct BackendOptions
{
    Duration recoveryGrace = std::chrono::seconds(10); //!< Good health before full share again.
    double recoveringShare = 0.1;
    std::uint32_t unhealthyThreshold = 3; //!< In succession.
    //! A reclaim notice covers every incarnation that appears on its instance until the deadline,
    //! but no longer than this, in case the clocks disagree.
    Duration maxNoticeDuration = std::chrono::minutes(5);
    Duration goneRetention = std::chrono::hours(1); //!< Memory of servers that are gone.
};

/*!
    The backend servers that this node knows, and which of them may receive new work.

    Knowledge comes from the cloud API's list, which lags, from its notices, from peers, and from
    the backend servers' own reports. Functions that find out about a leave return the rumour that
    is to be announced to the peers.
*/
class BackendTable
{
public:
    explicit BackendTable(BackendOptions options);

    void setRecoveryGrace(Duration grace) { m_options.recoveryGrace = grace; }

    /*!
        Applies the cloud API's list. It cannot bring back an incarnation that is leaving. An empty
        \a list is ignored, because it would take all backend servers out of service at once.
    */
    std::vector<Rumour> applyList(std::span<const ListedInstance> list, Timestamp now);

    std::vector<Rumour> applyNotice(const ReclaimNotice &notice, Timestamp now, WallMillis wallNow);

    /*!
        Applies a rumour of kind BackendLeaving; other kinds are ignored.
    */
    void applyRumour(const Rumour &rumour, Timestamp now, WallMillis wallNow);

    /*!
        Applies the answer of engine \a id to a load query; it counts as good health.
    */
    std::optional<Rumour> applyReport(std::string_view id, const LoadReport &report, Timestamp now);

    /*!
        Marks incarnation \a incarnation of \a id as leaving, for example because it refused a call
        for that reason.
    */
    std::optional<Rumour> markLeaving(std::string_view id, std::int64_t incarnation, Timestamp now);

    /*!
        Notes the outcome of a health check outside of a call, such as a load query.
    */
    void recordHealth(std::string_view id, HealthResult health, Timestamp now);

    /*!
        Returns the engines of \a classes that may receive work for \a model. Unhealthy engines
        are left out, unless all are unhealthy.
    */
    std::vector<BackendView> usableEngines(std::string_view model,
                                           std::span<const std::string> classes, Timestamp now);

    /*!
        Returns the backend servers of \a service that may receive work.
    */
    std::vector<BackendView> usableServices(std::string_view service, Timestamp now);

    /*!
        Returns all engines that are not gone, for load queries.
    */
    std::vector<BackendView> engines(Timestamp now) const;

    /*!
        Notes that a call is about to be sent. Returns false, and the call must not be sent, if
        this incarnation may no longer receive work.
    */
    bool beginCall(std::string_view id, std::int64_t incarnation, Timestamp now);

    void endCall(std::string_view id, std::int64_t incarnation, HealthResult health, Timestamp now);

    std::optional<BackendState> state(std::string_view id) const;

    /*!
        Returns how often a backend server changed between full share and less.
    */
    std::uint64_t shareChanges() const { return m_shareChanges; }

private:
    struct Server
    {
        ListedInstance listed;
        BackendState state = BackendState::Active;
        Timestamp stateSince; //!< Time of the last change of state.
        std::optional<LoadReport> report;
        Timestamp measuredAt; //!< When the values of the report were measured.
        std::deque<Timestamp> callsSinceReport; //!< Calls begun after that.
        std::uint32_t inFlight = 0;
        std::uint32_t consecutiveFailures = 0; //!< In succession.
        std::optional<Timestamp> recoveringSince; //!< Start of good health after being unhealthy.
        bool healthy = true;
        bool hasFullShare = true;
    };
    struct Leave
    {
        std::int64_t highestIncarnation = 0; //!< Highest incarnation that is leaving.
        Timestamp recordedAt;
        Timestamp appliesUntil; //!< Incarnations that appear before this time are leaving, too.
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
    BackendView makeView(const Server &server, Timestamp now) const;
    void removeExpired(Timestamp now);

    BackendOptions m_options;
    std::map<std::string, Server, std::less<>> m_servers;
    std::map<std::string, Leave, std::less<>> m_leaves;
    std::uint64_t m_shareChanges = 0;
};

} // namespace sesame
