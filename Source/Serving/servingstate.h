#pragma once

#include "Core/crashtable.h"
#include "Core/enginechooser.h"
#include "Core/enginedirectory.h"
#include "Core/peertable.h"
#include "Core/quotabucket.h"
#include "Core/refusalmeter.h"
#include "Core/resendbudget.h"
#include "Core/servingconfig.h"
#include "Core/truetime.h"
#include "Core/usageledger.h"
#include "Serving/engineconnectionpool.h"
#include "Serving/requestformat.h"
#include "Serving/servingmetrics.h"
#include "Serving/servingsettings.h"

#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace sesame {

/*!
    All that one node knows and decides with. Used by one thread, so it has no locks.
*/
struct ServingState
{
    ServingState(asio::io_context &ioContext, const ServingSettings &nodeSettings,
                 const RequestFormat &requestFormat);

    /*!
        Puts \a newConfig in force if it is newer than the present version.
    */
    void adoptConfig(std::shared_ptr<const ServingConfig> newConfig);

    /*!
        Returns the quota of \a account, refilled up to now.
    */
    QuotaBucket &refreshQuota(const ClientAccount &account);

    /*!
        Counts a request of \a account that an engine has begun.
    */
    void countUsage(const std::string &account);

    std::int64_t currentWindow() const;
    std::string reporterName() const;

    asio::io_context &context;
    ServingSettings settings;
    const RequestFormat &format;
    std::int64_t incarnation; //!< Unix milliseconds of the process's start.
    std::shared_ptr<const ServingConfig> config; //!< Null until the first one is known.
    EngineDirectory engines;
    EngineChooser chooser;
    EngineConnectionPool connectionPool;
    ResendBudget resendBudget;
    std::unordered_map<std::string, QuotaBucket> quotas; //!< By account.
    CrashTable crashes;
    UsageLedger usage;
    TrueTime trueTime;
    PeerTable peers;
    RefusalMeter refusals;
    ServingMetrics metrics;
    bool leaving = false;
    bool enginesListed = false; //!< The list of engines has been read once.
    std::minstd_rand random {std::random_device {}()};
};

} // namespace sesame
