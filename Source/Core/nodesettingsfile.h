#pragma once

#include "Core/nodesettings.h"
#include "Core/settingserror.h"

#include <optional>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    Parses \a text as the settings file \a fileName of a node. The files named by peer_key_file and
    token_key_file are read from the file system. If there are errors, all of them are appended to
    \a errors, and the result is std::nullopt.
*/
std::optional<NodeSettings> parseNodeSettings(std::string_view text, std::string_view fileName,
                                              std::vector<SettingsError> &errors);

/*!
    Parses an IPv4 endpoint of the form "IP:PORT". Returns std::nullopt if \a text is invalid.
*/
std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace sesame
