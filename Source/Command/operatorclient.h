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
    A node's response to GET /v1/status.
*/
struct NodeStatus
{
    std::uint64_t fleetVersion = 0; //!< Version of the fleet document that the node uses.
    std::string confirmation; //!< "confirmed", "unconfirmed" or "isolated".
    std::string json; //!< The whole response on one line.
};

/*!
    Sends a request to the operator address \a node ("IP:PORT"). Returns the body of the response.
    If there is no response with status 200, returns std::nullopt and sets the last reason.
*/
std::optional<std::string> sendOperatorRequest(std::string_view node, std::string method,
                                               std::string_view path);

/*!
    Returns the status of the node with the operator address \a node. Returns std::nullopt and sets
    the last reason if the node does not answer.
*/
std::optional<NodeStatus> queryNodeStatus(std::string_view node);

/*!
    Returns the value of the flag --nodes. Prints an error and returns an empty list if an address
    is not "IP:PORT" or the flag is not set.
*/
std::vector<std::string> readNodesFlag();

} // namespace sesame
