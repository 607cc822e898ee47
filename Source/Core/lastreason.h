#pragma once

#include "Core/resultcode.h"

#include <optional>
#include <string>

namespace sesame {

/*!
    Reason for the failure of the last failed call on the current thread.
*/
struct FailureReason
{
    ResultCode code = ResultCode::Ok;
    std::string text;
};

/*!
    Records \a code and \a text as the failure reason of the calling thread and returns
    std::nullopt, so that a function can write \c{return fail(...)}.
*/
std::nullopt_t fail(ResultCode code, std::string text);

/*!
    Returns the failure reason that the last failed call recorded on the calling thread. The value
    is valid only directly after a function returned std::nullopt.
*/
const FailureReason &lastReason();

} // namespace sesame
