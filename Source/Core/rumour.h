#pragma once

#include <cstdint>
#include <string>

namespace sesame {

/*!
    Kind of a statement that nodes spread by piggybacking. The numbers are part of the peer
    interface.
*/
enum class RumourKind : std::int32_t {
    NodeAlive = 1, //!< The detail of the node rumours is "PEER_ADDRESS CALLER_ADDRESS ZONE".
    NodeSuspect = 2,
    NodeDead = 3,
    NodeLeaving = 4,
    BackendLeaving = 5, //!< Detail "notice" if the whole instance is being reclaimed.
    BackendCrashed = 6, //!< The detail names the fingerprints that ran on the backend server.
    FingerprintQuarantined = 7 //!< The subject is the fingerprint.
};

struct Rumour
{
    RumourKind kind = RumourKind::NodeAlive;
    std::string subject; //!< Node name, backend server id or fingerprint.
    std::int64_t incarnation = 0;
    std::string detail;

    bool operator==(const Rumour &other) const = default;
};

/*!
    Returns whether \a kind is a statement about an entry node.
*/
constexpr bool isNodeRumour(RumourKind kind)
{
    return kind >= RumourKind::NodeAlive && kind <= RumourKind::NodeLeaving;
}

/*!
    Returns the order in which rumours are sent, 0 first. Leave notices go first, because a
    backend server that is leaving must receive no new work within 2 s.
*/
constexpr int rumourPriority(RumourKind kind)
{
    switch (kind) {
    case RumourKind::BackendLeaving:
    case RumourKind::NodeLeaving:
        return 0;
    case RumourKind::BackendCrashed:
    case RumourKind::FingerprintQuarantined:
        return 1;
    default:
        return 2;
    }
}

} // namespace sesame
