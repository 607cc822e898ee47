#pragma once

#include "Core/nodesettings.h"
#include "Core/settingserror.h"

#include <optional>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    Reads the settings of a node. Returns std::nullopt after appending every fault found to
    \a errors. peer_key_file and token_key_file are read from the file system.
*/
std::optional<NodeSettings> parseNodeSettings(std::string_view text, std::string_view fileName,
                                              std::vector<SettingsError> &errors);

/*!
    Returns the endpoint written as "IP:PORT" (IPv4), or std::nullopt.
*/
std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace sesame
