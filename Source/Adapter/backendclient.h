#pragma once

#include "Adapter/httpmessage.h"

#include <functional>
#include <string_view>

namespace sesame {

enum class CallStatus {
    Replied, //!< A complete reply arrived, whatever its status.
    NotSent, //!< No byte of the call was written to a connection.
    Lost, //!< The call was sent, at least partly, and no complete reply arrived.
    Aborted //!< The receiver of the body asked to stop.
};

struct BackendReply
{
    CallStatus status = CallStatus::NotSent;
    HttpReply reply;
    std::string reason; //!< Text for logs if status is not Replied.
};

/*!
    Receives parts of a reply body. Returning false ends the call with CallStatus::Aborted.
*/
using BodyReceiver = std::function<bool(std::string_view)>;

/*!
    Sends \a call to a backend server on a new connection and waits for the reply.

    The reply tells whether a failed call was sent at all, which decides between "not run" and
    "unknown". Connections are not reused.
*/
BackendReply callBackend(const HttpCall &call);

/*!
    As callBackend(), but passes a successful reply's body to \a receiver as it arrives.
*/
BackendReply streamFromBackend(const HttpCall &call, const BodyReceiver &receiver);

} // namespace sesame
