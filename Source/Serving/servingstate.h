#pragma once

#include "Core/Capacity/serviceratemeter.h"
#include "Core/Placement/enginechooser.h"
#include "Core/Placement/enginecostmodel.h"
#include "Core/Streams/streamorigins.h"
#include "Core/crashtable.h"
#include "Core/deploymenttally.h"
#include "Core/enginedirectory.h"
#include "Core/enginenotices.h"
#include "Core/objectreplica.h"
#include "Core/peerdirectory.h"
#include "Core/promptcrashtable.h"
#include "Core/quotabucket.h"
#include "Core/resendbudget.h"
#include "Core/servingconfig.h"
#include "Core/stopschedule.h"
#include "Core/suspensionguard.h"
#include "Core/truetime.h"
#include "Core/usageledger.h"
#include "Http/clientmemory.h"
#include "Serving/engineconnectionpool.h"
#include "Serving/requestformat.h"
#include "Serving/requestwaiting.h"
#include "Serving/rolloutrecord.h"
#include "Serving/servingmetrics.h"
#include "Serving/servingsettings.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace sesame {

class ProxiedRequest;
class StreamOriginStore;

/*!
    State that the parts of a node share. Only one thread uses it, so it needs no locks.
*/
struct ServingState
{
    ServingState(asio::io_context &ioContext, const ServingSettings &nodeSettings,
                 const RequestFormat &requestFormat);

    /*!
        Replaces the configuration by \a newConfig if that has a newer version.
    */
    void adoptConfig(std::shared_ptr<const ServingConfig> newConfig);

    /*!
        Refills the quota of \a account up to the current time and returns it.
    */
    QuotaBucket &refreshQuota(const ClientAccount &account);

    /*!
        Counts a request of \a account that an engine has begun in the current usage window.
    */
    void countUsage(const std::string &account);

    /*!
        Returns the number of the current usage window.
    */
    std::int64_t currentWindow() const;

    /*!
        Returns whether this node may still accept account keys: it knows the current configuration,
        or did so recently enough that a key revoked since then may still be used.
    */
    bool acceptsKeys() const;

    /*!
        Records that the process runs. Must be called several times a second.
    */
    void recordRun();

    /*!
        Returns the common time of the nodes in Unix milliseconds.
    */
    std::int64_t commonMillis() const;

    /*!
        Returns how long a request is refused because it, or parts of its prompt, crashed engines,
        or std::nullopt if it may be sent to an engine. \a fingerprint is the hash of the request,
        \a parts are those of its prompt.
    */
    std::optional<Milliseconds> crashRefusalTime(std::uint64_t fingerprint,
                                                 std::span<const PromptPart> parts) const;

    /*!
        Records that an engine crashed before it had begun to answer a prompt.
    */
    void recordPromptCrash(const wire::PromptCrash &crash);

    /*!
        Takes over what the peers have in progress, have crashed and hold of the quotas.
    */
    void refreshPeerState();

    /*!
        Returns the name under which this incarnation of the node counts usage.
    */
    std::string reporterName() const;

    asio::io_context &context;
    ServingSettings settings;
    const RequestFormat &format;
    std::int64_t incarnation; //!< Start time of the process in Unix milliseconds.
    std::shared_ptr<const ServingConfig> config; //!< Null until the first one has been received.
    EngineDirectory engines;
    EngineNotices engineNotices; //!< Times are from the clock that counts suspension.
    EngineChooser chooser;
    EngineCostModel costModel; //!< Used where the engines of a service may be uneven.
    EngineConnectionPool connectionPool;
    ResendBudget resendBudget;
    std::unordered_map<std::string, QuotaBucket> quotas; //!< The key is the account.
    CrashTable crashes;
    PromptCrashTable promptCrashes;
    UsageLedger usage;
    TrueTime trueTime;
    SuspensionGuard suspension;
    PeerDirectory peers;
    DeploymentTally tally;
    //! Shares of the quotas, updated with each report from a peer and at each tick.
    QuotaShares quotaShares;
    ObjectReplica configReplica;
    ObjectReplica engineReplica;
    ServiceRateMeter refusals; //!< Requests that are refused for lack of capacity.
    ServiceRateMeter promptTokens; //!< Prompt tokens of the requests that callers send.
    RolloutRecord rollouts;
    StreamOrigins streamOrigins;
    StreamOriginStore *streamOriginStore = nullptr; //!< Set by the node, which owns it.
    //! Engines that the holder of the duties needs of each service, as its record tells.
    std::map<std::string, int> neededEngines;
    ServingMetrics metrics;
    std::shared_ptr<ClientMemory> clientMemory; //!< Shared by all listeners of the node.
    std::optional<StopSchedule> stop; //!< Set when the node begins to shut down.
    //! Admitted requests without an answer.
    std::map<const ProxiedRequest *, std::weak_ptr<ProxiedRequest>> openRequests;
    //! Requests that wait for engines; unset if requests are refused when all engines are full.
    std::optional<RequestWaiting> waiting;
    std::minstd_rand random {std::random_device {}()};

private:
    void logRefusedParts(std::size_t known) const;
};

} // namespace sesame
