#pragma once

#include "Adapter/httpmessage.h"
#include "Core/lastreason.h"
#include "Core/resultcode.h"

#include <chrono>
#include <string_view>

namespace sesame {

/*!
    The result of a request as it is reported to the caller.
*/
struct RequestResult
{
    Outcome outcome = Outcome::NotRun;
    ResultCode code = ResultCode::Ok;
    std::string reason {};
    std::chrono::milliseconds retryAfter {0}; //!< 0 omits the retry time from the response.
};

/*!
    Returns the HTTP status for a request that ended with \a result.
*/
int toHttpStatus(const RequestResult &result);

/*!
    Returns a result with Outcome::NotRun for \a reason, for example lastReason(). The caller is
    asked to wait for \a retryAfter before it retries; 0 sends no retry time.
*/
RequestResult makeNotRunResult(const FailureReason &reason,
                               std::chrono::milliseconds retryAfter = {});

/*!
    Returns a JSON response that reports \a result in its status, headers and body.
*/
HttpResponse makeResultResponse(const RequestResult &result);

/*!
    Adds the headers X-Outcome and X-Result-Code for \a result to \a response.
*/
void addResultHeaders(HttpResponse *response, const RequestResult &result);

/*!
    Returns a response with status 200 and the JSON text \a body.
*/
HttpResponse makeJsonResponse(std::string body);

} // namespace sesame
