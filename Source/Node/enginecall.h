#pragma once

#include "Core/backendtable.h"
#include "Core/resumetoken.h"
#include "Node/modelstream.h"
#include "Node/nodecontext.h"

#include <string>

namespace sesame {

/*!
    The way in which an attempt on an engine ended.
*/
enum class AttemptEnd {
    Completed, //!< The engine sent the complete answer.
    NotSent, //!< The engine was unreachable and has not received the request.
    Refused, //!< The engine did not accept the request.
    Lost, //!< The connection was lost; the run on the engine may continue.
    Ended, //!< The engine ended or lost the run before the answer was complete.
    Moved, //!< The run must continue on another engine.
    HandedOver, //!< The request must continue on another entry node.
    Detached, //!< Delivery to the caller was stopped, see ModelStream::detach().
    Rejected //!< The engine reported that the request is invalid.
};

struct AttemptResult
{
    AttemptEnd end = AttemptEnd::NotSent;
    std::string reason;
    //! Time for which the engine wants no requests; unset if it asked for none.
    std::optional<std::chrono::milliseconds> pause {};
};

/*!
    Starts an attempt of \a stream on \a engine and delivers its tokens. Blocks until the attempt
    ends. The backend table must already contain the call, see BackendTable::beginCall().
*/
AttemptResult startAttempt(NodeContext &context, ModelStream &stream, const BackendView &engine);

/*!
    Reads the run \a attempt of \a stream that already exists on \a engine, starting with the first
    token that was not delivered. Blocks until the attempt ends.
*/
AttemptResult attachAttempt(NodeContext &context, ModelStream &stream, const AttemptEngine &engine,
                            std::uint64_t attempt);

/*!
    Transfers the current attempt of \a stream with its KV cache from its engine to \a target and
    reads it there. Returns std::nullopt if the state cannot be exported or imported; a new
    attempt must be started instead.
*/
std::optional<AttemptResult> transferAttempt(NodeContext &context, ModelStream &stream,
                                             const BackendView &target);

/*!
    Cancels the current attempt of \a stream on its engine. Returns true if the engine confirmed
    that the attempt never started.
*/
bool cancelAttempt(ModelStream &stream);

/*!
    Converts \a view to the form that stream sessions and resume tokens use.
*/
AttemptEngine toAttemptEngine(const BackendView &view);

/*!
    Returns the server-sent event of type \a type with the token to resume \a stream.
*/
std::string makeResumeTokenEvent(NodeContext &context, ModelStream &stream, std::string_view type);

/*!
    Returns the server-sent event that directs the caller to resume \a stream at the entry node
    with the URL \a address.
*/
std::string makeContinueEvent(NodeContext &context, ModelStream &stream,
                              const std::string &address);

} // namespace sesame
