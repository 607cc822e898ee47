#pragma once

#include "Core/enginechooser.h"
#include "Core/servingconfig.h"
#include "Http/httptypes.h"

#include <optional>
#include <string>

namespace sesame {

/*!
    What a caller's request says of itself, whatever its headers are called.
*/
struct RequestInfo
{
    std::string id; //!< Of this attempt of the caller.
    std::string host; //!< Lower case, without a port.
    std::string path; //!< Without the query.
    std::string accountKey; //!< ClientAccount key; empty if there is none.
    std::optional<Milliseconds> deadline; //!< How long the caller waits.
    std::optional<std::string> lastEventId; //!< The caller resumes a stream after this event.
    WorkSize work;
    bool hasTokenCounts = false; //!< \c work holds the token counts that the caller stated.
};

/*!
    What this node adds to a request that it sends to an engine.
*/
struct EngineRequestInfo
{
    std::string engineId;
    std::string account; //!< Empty on anonymous routes.
    Milliseconds remainingTime {0};
    int priority = 0; //!< Rank of the request, 0 is the most urgent.
    bool isModelWork = false;
    std::optional<std::string> lastEventId;
};

/*!
    What the head of an engine's answer says.
*/
struct ResponseInfo
{
    std::string id; //!< Of the attempt that is answered; empty if not stated.
    bool notExecuted = false; //!< The engine did not run the request and never will.
    bool isSigned = false; //!< The answer carries the engine's signature.
    bool isEncoded = false; //!< The body is not the engine's own bytes.
    bool isEventStream = false;
};

/*!
    Translates between the wire and the product's types.
*/
class RequestFormat
{
public:
    virtual ~RequestFormat() = default;
    virtual RequestInfo readRequest(const RequestMessage &request) const = 0;
    virtual HttpFields formatEngineRequestFields(const RequestMessage &request,
                                                 const EngineRequestInfo &info) const = 0;
    virtual ResponseInfo readResponse(const ResponseHead &head) const = 0;

    /*!
        Returns the fields of an answer that the node itself gives.
    */
    virtual HttpFields formatLocalResponseFields(const std::string &id,
                                                 std::optional<Milliseconds> retryAfter) const = 0;
};

} // namespace sesame
