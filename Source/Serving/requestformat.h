#pragma once

#include "Core/Placement/enginechooser.h"
#include "Core/servingconfig.h"
#include "Http/httptypes.h"

#include <optional>
#include <string>

namespace sesame {

/*!
    Attributes of a caller's request, independent of the header names that carry them.
*/
struct RequestInfo
{
    std::string id; //!< Identifies this attempt of the caller.
    std::string host; //!< In lower case, without the port.
    std::string path; //!< Without the query string.
    std::string accountKey; //!< Empty if the request carries no account key.
    std::optional<Milliseconds> deadline; //!< Time that the caller waits for the response.
    //! Set if the caller resumes a stream after this event.
    std::optional<std::string> lastEventId;
    //! Attempt that brought the first event of that stream; empty if the caller names none.
    std::string resumedId;
    RequestSize work;
    bool hasTokenCounts = false; //!< Whether the caller stated the token counts in \c work.
};

/*!
    Attributes that this node adds to a request that it sends to an engine.
*/
struct EngineRequestInfo
{
    std::string engineId;
    std::string account; //!< Empty if the request has no account.
    Milliseconds remainingTime {0};
    int priority = 0; //!< Rank of the request; 0 is the most urgent.
    bool isModelWork = false; //!< The caller stated the token counts of the work.
    std::optional<std::string> lastEventId;
};

/*!
    Time after which an engine wants requests again.
*/
struct RetryTime
{
    std::optional<Milliseconds> wait {}; //!< Unset if the engine states none that can be used.
    std::string unusable {}; //!< A stated value that cannot be used; empty if there is none.
};

/*!
    Attributes from the head of an engine's response.
*/
struct ResponseInfo
{
    std::string id; //!< Attempt that the response belongs to; empty if not stated.
    bool notExecuted = false; //!< The engine has not executed the request and never will.
    bool isSigned = false; //!< The response carries the engine's signature.
    //! The body has a content encoding, so that its bytes are not those of the engine.
    bool isEncoded = false;
    bool isEventStream = false;
    //! Load of the engine when it began the response; unset if it does not tell it.
    std::optional<StatedLoad> engineLoad {};
    bool isLeaving = false; //!< The engine is going to end.
    RetryTime retryAfter;
};

/*!
    Translates between HTTP header fields and request and response attributes.
*/
class RequestFormat
{
public:
    virtual ~RequestFormat() = default;

    /*!
        Returns the attributes of a caller's \a request.
    */
    virtual RequestInfo readRequest(const RequestMessage &request) const = 0;

    /*!
        Returns the header fields to send to an engine: those of \a request and those for \a info.
    */
    virtual HttpFields formatEngineRequestFields(const RequestMessage &request,
                                                 const EngineRequestInfo &info) const = 0;

    /*!
        Returns the attributes of an engine's response from its \a head.
    */
    virtual ResponseInfo readResponse(const ResponseHead &head) const = 0;

    /*!
        Returns the header fields of a response that the node generates itself to attempt \a id.
        \a retryAfter is the time after which the caller should retry.
    */
    virtual HttpFields formatLocalResponseFields(const std::string &id,
                                                 std::optional<Milliseconds> retryAfter) const = 0;
};

} // namespace sesame
