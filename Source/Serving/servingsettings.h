#pragma once

#include "Core/servingconfig.h"
#include "Http/httptypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sesame {

/*!
    Limits on what a version of a service that is being rolled out may receive.
*/
struct RolloutLimits
{
    double exposureShare = 0.1; //!< Largest share of a service's requests that a bad version gets.
    double exposureSlack = 50.0; //!< Requests that a bad version may get beyond the share.
    Milliseconds rollback {5000}; //!< Time from a version's proof as bad to its last request.
};

/*!
    Settings that a node reads when it starts.
*/
struct ServingSettings
{
    std::string node; //!< Name of the node.
    std::string zone; //!< Availability zone of the node.
    std::string entryAddressText; //!< Address of the entry as the directory states it.
    Tcp::endpoint entryAddress; //!< Address that accepts callers' requests.
    Tcp::endpoint readinessAddress; //!< Address of the readiness check.
    Tcp::endpoint directoryAddress; //!< Address of the directory, which lists the entry addresses.
    std::uint16_t exchangePort = 0; //!< UDP port for reports between nodes; the same on all nodes.
    Tcp::endpoint metricsAddress; //!< Address that serves this node's metrics.
    Tcp::endpoint storeAddress; //!< Address of the object store.
    Tcp::endpoint dutyAddress; //!< Address that receives the calls of the duties.
    bool isFirstStart = false; //!< The whole deployment starts for the first time.
    bool metersUsage = false; //!< The duties include reporting usage.
    bool scalesEngines = false; //!< The duties include ordering engines.
    Milliseconds lease {3000}; //!< Lease on the duties.
    Milliseconds stopGrace {8000}; //!< Maximum time from SIGTERM to the end of the process.
    Milliseconds usageWindow {5000}; //!< Length of a usage window.
    double resendRatio = 0.2; //!< Maximum number of resends for each request.
    Milliseconds resendWindow {10000}; //!< Window in which requests and resends are counted.
    double resendSlack = 0.0; //!< Resends of all nodes that are allowed beyond the ratio.
    std::size_t descriptorLimit = 1024; //!< Limit of open file descriptors of the process.
    std::size_t memoryLimitBytes = 0; //!< Memory of the process; 0 if it is not limited.
    int capacityMillicores = 1000; //!< Processor share of the machine, in thousandths of a core.
    //! Time after which a node that cannot know whether an account key was revoked refuses it;
    //! unset if keys stay valid until the node learns of a revocation.
    std::optional<Milliseconds> revocationLimit {};
    //! The engines of a service may differ in speed and change it.
    bool hasUnevenEngines = false;
    std::optional<RolloutLimits> rollout {}; //!< Unset if the deployment has no roll-outs.
};

} // namespace sesame
