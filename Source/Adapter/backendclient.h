#pragma once

#include "Adapter/httpmessage.h"

#include <functional>
#include <string_view>

namespace sesame {

//! How far a call to a backend server got.
enum class CallStatus {
    Replied, //!< A complete reply arrived. Its HTTP status may be an error.
    NotSent, //!< No byte of the request was sent, so the call has not run.
    Lost, //!< The request was sent, at least in part, but no complete reply arrived. It is unknown
          //!< whether the call has run.
    Aborted //!< The receiver of the body ended the call.
};

//! Result of a call to a backend server.
struct BackendReply
{
    CallStatus status = CallStatus::NotSent;
    HttpReply reply;
    std::string reason; //!< Why there is no reply, as text for logs; empty if status is Replied.
};

/*!
    Receives the parts of a reply body, and an empty part at regular intervals while none arrives.
    If it returns false, the call ends with CallStatus::Aborted.
*/
using BodyReceiver = std::function<bool(std::string_view)>;

/*!
    Sends \a call to a backend server on a new connection and waits for the reply. Connections are
    not reused.

    The status of the result distinguishes a failed call that was never sent, whose outcome is
    "not run", from one that was sent, whose outcome is "unknown".
*/
BackendReply callBackend(const HttpCall &call);

/*!
    Like callBackend(), but passes the body of a successful reply (status below 400) to \a receiver
    as it arrives.
*/
BackendReply streamFromBackend(const HttpCall &call, const BodyReceiver &receiver);

} // namespace sesame
