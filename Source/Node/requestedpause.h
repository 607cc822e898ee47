#pragma once

#include "Adapter/backendclient.h"
#include "Core/backendtable.h"
#include "Node/nodecontext.h"

#include <chrono>
#include <optional>

namespace sesame {

/*!
    Returns for how long the backend server that sent \a reply wants no requests: the Retry-After
    field of a reply with status 429 or 503. Returns std::nullopt if it did not turn the call away
   or stated no usable time.
*/
std::optional<std::chrono::milliseconds> requestedPause(const BackendReply &reply);

/*!
    Sends nothing to \a server for \a pause, if it is set, and logs that.
*/
void recordRequestedPause(NodeContext &context, const BackendView &server,
                          std::optional<std::chrono::milliseconds> pause);

} // namespace sesame
