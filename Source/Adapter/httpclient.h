#pragma once

#include "Adapter/httpmessage.h"

#include <optional>

namespace sesame {

/*!
    Sends \a call and returns the reply, whatever its status.
    Returns std::nullopt with a last reason if no complete reply arrived; the server may
    still have received the call.
*/
std::optional<HttpReply> sendHttp(const HttpCall &call);

} // namespace sesame
