#pragma once

#include "Adapter/httpmessage.h"

#include <absl/flags/declare.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

ABSL_DECLARE_FLAG(std::vector<std::string>, nodes);

namespace sesame {

/*!
    Answer of a node to GET /v1/status.
*/
struct NodeStatus
{
    std::uint64_t fleetVersion = 0;
    std::string confirmation; //!< "confirmed", "unconfirmed" or "isolated".
    std::string json; //!< The whole answer on one line.
};

/*!
    Sends a request to the operator address "IP:PORT" of a node. Returns the body of a reply
    with status 200 and std::nullopt for anything else.
*/
std::optional<std::string> sendOperatorRequest(std::string_view node, std::string method,
                                               std::string_view path);

/*!
    Returns the status of \a node, or std::nullopt if it does not answer.
*/
std::optional<NodeStatus> queryNodeStatus(std::string_view node);

/*!
    Returns --nodes. Prints an error and returns an empty list if an address is not "IP:PORT"
    or the flag is not set.
*/
std::vector<std::string> readNodesFlag();

} // namespace sesame
