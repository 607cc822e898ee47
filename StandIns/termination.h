#pragma once

#include "Core/nodesettings.h"

#include <optional>
#include <string_view>

namespace sesame {

/*!
    Blocks SIGTERM and SIGINT. Must be called before the first thread starts.
*/
void blockTerminationSignals();

/*!
    Waits for SIGTERM or SIGINT.
*/
void waitForTermination();

/*!
    Converts "IP:PORT". Returns std::nullopt with a last reason if \a text is anything else.
*/
std::optional<Endpoint> endpointFromText(std::string_view text);

} // namespace sesame
