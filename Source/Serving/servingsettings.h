#pragma once

#include "Core/servingconfig.h"
#include "Http/httptypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sesame {

/*!
    What a node is told when it starts.
*/
struct ServingSettings
{
    std::string node;
    std::string zone;
    std::string entryAddressText; //!< As callers are told it.
    Tcp::endpoint entryAddress; //!< For callers' requests.
    Tcp::endpoint readinessAddress;
    Tcp::endpoint directoryAddress; //!< Answers where callers may connect.
    std::uint16_t exchangePort = 0; //!< UDP, the same on all nodes.
    Tcp::endpoint metricsAddress;
    Tcp::endpoint storeAddress;
    Tcp::endpoint dutyAddress;
    bool isFirstStart = false; //!< The whole deployment starts for the first time.
    bool metersUsage = false;
    bool scalesEngines = false;
    Milliseconds lease {3000}; //!< Of the duties.
    Milliseconds stopGrace {8000}; //!< From SIGTERM to the end of the process.
    Milliseconds usageWindow {5000};
    double resendRatio = 0.2;
    Milliseconds resendWindow {10000};
    double resendSlack = 0.0;
    std::size_t descriptorLimit = 1024;
};

} // namespace sesame
