#pragma once

#include "Core/backendtable.h"
#include "Core/resumetoken.h"
#include "Node/modelstream.h"
#include "Node/nodecontext.h"

#include <string>

namespace sesame {

enum class AttemptEnd {
    Completed, //!< The engine sent the whole answer.
    NotSent, //!< The engine could not be reached; it does not have the request.
    Refused, //!< The engine answered that it does not take the request.
    Lost, //!< The connection broke; the run on the engine may go on.
    Ended, //!< The engine ended or lost the run.
    Moved, //!< The run is to continue on another engine.
    HandedOver, //!< The request is to continue on another entry node.
    Detached, //!< The caller's side was closed.
    Rejected //!< The engine found the request itself at fault.
};

struct AttemptResult
{
    AttemptEnd end = AttemptEnd::NotSent;
    std::string reason;
};

/*!
    Runs one attempt of \a stream on \a engine and delivers its tokens. Blocks until the
    attempt ends. The caller has begun the call in the backend table.
*/
AttemptResult startAttempt(NodeContext &context, ModelStream &stream, const BackendView &engine);

/*!
    Reads a run that is already on its engine, from the first token that the caller lacks.
*/
AttemptResult attachAttempt(NodeContext &context, ModelStream &stream, const AttemptEngine &engine,
                            std::uint64_t attempt);

/*!
    Moves the current attempt of \a stream with its KV cache from its engine to \a target and
    reads it there. Returns std::nullopt, and the caller starts a new attempt instead, if the
    state cannot be exported and imported.
*/
std::optional<AttemptResult> transferAttempt(NodeContext &context, ModelStream &stream,
                                             const BackendView &target);

/*!
    Cancels the current attempt on its engine. Returns true if the engine confirmed that the
    attempt never started.
*/
bool cancelAttempt(ModelStream &stream);

/*!
    Returns \a view as the session and the resume token name it.
*/
AttemptEngine toAttemptEngine(const BackendView &view);

/*!
    Returns the event of type \a type that tells the caller how to resume \a stream.
*/
std::string makeResumeTokenEvent(NodeContext &context, ModelStream &stream, std::string_view type);

/*!
    Returns the event that tells the caller to resume \a stream at the entry node \a address.
*/
std::string makeContinueEvent(NodeContext &context, ModelStream &stream,
                              const std::string &address);

} // namespace sesame
