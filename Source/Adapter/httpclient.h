#pragma once

#include "Adapter/httpmessage.h"

#include <optional>

namespace sesame {

/*!
    Sends \a call and returns the reply, also if its HTTP status is an error. Returns std::nullopt
    and sets the last reason if no complete reply arrived. The server may then still have received
    the call.
*/
std::optional<HttpReply> sendHttp(const HttpCall &call);

} // namespace sesame
