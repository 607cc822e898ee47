#pragma once

#include <cstdint>
#include <string>

namespace sesame {

/*!
    Kind of a statement that nodes spread through the messages of the membership protocol. The
    numbers are part of the peer interface.
*/
enum class RumourKind : std::int32_t {
    NodeAlive = 1, //!< The detail of all node rumours is "PEER_ADDRESS CALLER_ADDRESS ZONE".
    NodeSuspect = 2,
    NodeDead = 3,
    NodeLeaving = 4,
    //! The detail is the deadline in Unix milliseconds if the whole instance is being reclaimed,
    //! and is otherwise empty.
    BackendLeaving = 5,
    BackendCrashed = 6, //!< The detail lists the fingerprints of requests that ran on it.
    FingerprintQuarantined = 7 //!< The subject is the fingerprint of the quarantined request.
};

/*!
    A statement about a node, a backend server or a request that spreads through the fleet.
*/
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
    Returns the priority in which rumours of \a kind are sent; 0 is the highest. Rumours about a
    leave come first, because a backend server that is leaving must receive no new work after 2 s.
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
