#pragma once

#include "Core/engineplanner.h"
#include "Core/usageledger.h"

#include <functional>
#include <string>

namespace sesame {

enum class DutyCallStatus {
    Accepted,
    Refused, //!< The platform does not grant what was asked for.
    Failed, //!< The call was not taken, for a reason that tells nothing of what it asked for.
    Unknown //!< No answer; the call may have been taken.
};

/*!
    Calls that one node makes for the whole deployment, with its name and fencing token.
*/
class DutyClient
{
public:
    using Completion = std::function<void(DutyCallStatus)>;

    virtual ~DutyClient() = default;
    virtual void reportUsage(std::int64_t window, const AccountCounts &counts,
                             std::int64_t fencingToken, Completion completion)
            = 0;
    virtual void orderEngines(const EngineOrder &order, std::int64_t fencingToken,
                              Completion completion)
            = 0;
};

} // namespace sesame
