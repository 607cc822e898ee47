#pragma once

#include "Core/resultcode.h"

#include <optional>
#include <string>

namespace sesame {

/*!
    Why the last failed call on this thread failed.
*/
struct FailureReason
{
    ResultCode code = ResultCode::Ok;
    std::string text;
};

/*!
    Records \a code and \a text as the last reason of the calling thread and returns
    std::nullopt, so that a function can write \c{return fail(...)}.
*/
std::nullopt_t fail(ResultCode code, std::string text);

/*!
    Returns the reason recorded by the last failed call of the calling thread.
    The value is only meaningful right after a function returned std::nullopt.
*/
const FailureReason &lastReason();

} // namespace sesame
