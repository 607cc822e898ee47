#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sesame {

struct Endpoint
{
    std::string host; //!< IP number; names are not resolved.
    std::uint16_t port = 0;
};

/*!
    Settings of one entry node, read from a TOML file on its instance.
*/
struct NodeSettings
{
    std::string node; //!< Unique name of the node.
    std::string instance; //!< The cloud API's id of the instance the node runs on.
    std::string zone;
    Endpoint callerAddress; //!< Serves callers over HTTP.
    Endpoint peerAddress; //!< Serves peers over Thrift.
    Endpoint operatorAddress; //!< Serves metrics, status and drain over HTTP.
    std::string objectServiceUrl; //!< Base URL of the platform's object service.
    std::string cloudUrl; //!< Base URL of the cloud API.
    std::string peerKey; //!< Secret that authenticates peers; read from peer_key_file if set.
    std::string tokenKey; //!< Secret that signs resume tokens; the same on all nodes.
    std::vector<Endpoint> seeds; //!< Peer addresses to join through, besides the store's records.
    std::string logLevel = "info";
};

} // namespace sesame
