#pragma once

#include "Adapter/httpmessage.h"
#include "Core/lastreason.h"
#include "Core/resultcode.h"

#include <chrono>
#include <string_view>

namespace sesame {

/*!
    How a request ended, as the caller is told.
*/
struct RequestResult
{
    Outcome outcome = Outcome::NotRun;
    ResultCode code = ResultCode::Ok;
    std::string reason {};
    std::chrono::milliseconds retryAfter {0}; //!< 0: no retry time is told.
};

/*!
    Returns the HTTP status for a request that ended with \a result.
*/
int toHttpStatus(const RequestResult &result);

/*!
    Returns a "not run" result for \a reason, for example lastReason().
*/
RequestResult makeNotRunResult(const Reason &reason, std::chrono::milliseconds retryAfter = {});

/*!
    Returns a JSON answer that tells \a result in headers and body.
*/
HttpResponse makeResultResponse(const RequestResult &result);

/*!
    Adds the headers that tell \a result to \a response.
*/
void addResultHeaders(HttpResponse *response, const RequestResult &result);

/*!
    Returns a successful answer with the JSON text \a body.
*/
HttpResponse makeJsonResponse(std::string body);

} // namespace sesame
