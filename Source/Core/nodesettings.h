#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sesame {

/*!
    Network address of a server.
*/
struct Endpoint
{
    std::string host; //!< IP address; host names are not resolved.
    std::uint16_t port = 0;
};

/*!
    Settings of one entry node, read from a TOML file on its instance.
*/
struct NodeSettings
{
    std::string node; //!< Unique name of the node.
    std::string instance; //!< Id in the cloud API of the instance that runs the node.
    std::string zone;
    Endpoint callerAddress; //!< HTTP address for callers.
    Endpoint peerAddress; //!< Thrift address for peers.
    Endpoint operatorAddress; //!< HTTP address for metrics, status and drain.
    std::string objectServiceUrl; //!< Base URL of the platform's object service.
    std::string cloudUrl; //!< Base URL of the cloud API.
    std::string peerKey; //!< Secret for authenticating peers; read from peer_key_file if set.
    std::string tokenKey; //!< Secret for signing resume tokens, equal on all nodes.
    //! Peer addresses for joining, in addition to the store's records.
    std::vector<Endpoint> seeds;
    std::string logLevel = "info";
    int memoryLimitMb = 512; //!< Memory of the node's process.
};

} // namespace sesame
