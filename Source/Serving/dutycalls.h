#pragma once

#include "Core/engineplanner.h"
#include "Core/usageledger.h"

#include <functional>
#include <string>

namespace sesame {

enum class DutyCallStatus {
    Accepted,
    Refused, //!< The call was answered, and not taken.
    Unknown //!< No answer; the call may have been taken.
};

/*!
    Calls that one node makes for the whole deployment, with its name and fencing token.
*/
class DutyCalls
{
public:
    using Completion = std::function<void(DutyCallStatus)>;

    virtual ~DutyCalls() = default;
    virtual void reportUsage(std::int64_t window, const AccountCounts &counts,
                             std::int64_t fencingToken, Completion completion)
            = 0;
    virtual void orderEngines(const EngineOrder &order, std::int64_t fencingToken,
                              Completion completion)
            = 0;
};

} // namespace sesame
