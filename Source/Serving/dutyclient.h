#pragma once

#include "Core/Capacity/engineplanner.h"
#include "Core/usageledger.h"

#include <functional>
#include <string>

namespace sesame {

/*!
    Result of a call of a DutyClient.
*/
enum class DutyCallStatus {
    Accepted, //!< The platform has accepted the call.
    Refused, //!< The platform declines what the call asks for.
    //! The call had no effect, for a reason that does not concern what it asks for.
    Failed,
    Unknown //!< No response was received; the call may have taken effect.
};

/*!
    Sends the calls that only the holder of the duties may make, on behalf of the whole
    deployment. Each call carries the node's name and the fencing token of its term.
*/
class DutyClient
{
public:
    using Completion = std::function<void(DutyCallStatus)>;

    virtual ~DutyClient() = default;

    /*!
        Reports the requests that engines have begun in usage window \a window, as \a counts by
        account.
    */
    virtual void reportUsage(std::int64_t window, const AccountCounts &counts,
                             std::int64_t fencingToken, Completion completion)
            = 0;

    /*!
        Asks the platform to run as many engines as \a order states.
    */
    virtual void orderEngines(const EngineOrder &order, std::int64_t fencingToken,
                              Completion completion)
            = 0;
};

} // namespace sesame
