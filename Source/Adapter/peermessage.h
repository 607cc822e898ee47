#pragma once

#include "Core/ports.h"
#include "Core/rumour.h"

#include <peer_types.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

constexpr int peerFrameLimitBytes = 2 << 20; //!< Maximum size of a peer message.
constexpr int peerListLimit = 65536; //!< Maximum number of elements of a list in a peer message.

/*!
    Name of a node and the key for the authentication codes of its peer messages.
*/
struct PeerIdentity
{
    std::string node;
    std::string key;
};

//! Context in the authentication code of a request; see AuthenticatedFields.
constexpr std::string_view requestContext = "request";

/*!
    Serializes \a request and adds the authentication code.
*/
wire::SealedMessage sealRequest(const PeerIdentity &identity, const wire::PeerRequest &request,
                                WallMillis now);

/*!
    Serializes \a answer and adds the authentication code, which also covers \a requestCode, the
    authentication code of the request. The answer is therefore rejected if it is replayed as the
    answer to another request.
*/
wire::SealedMessage sealAnswer(const PeerIdentity &identity, const wire::PeerAnswer &answer,
                               std::string_view requestCode, WallMillis now);

/*!
    Verifies the authentication code of \a message and returns the request in it. Returns
    std::nullopt and sets the last reason with ResultCode::PeerUnauthenticated if the code or the
    time of sending is wrong or the body cannot be parsed.
*/
std::optional<wire::PeerRequest> openRequest(std::string_view key,
                                             const wire::SealedMessage &message, WallMillis now);
//! Like openRequest(), but for the answer to the request with the authentication code \a
//! requestCode.
std::optional<wire::PeerAnswer> openAnswer(std::string_view key, const wire::SealedMessage &message,
                                           std::string_view requestCode, WallMillis now);

/*!
    Redirects Thrift's diagnostic output from standard error to the log at debug level. Thrift
    reports closed connections and malformed frames there, which any host can cause.
*/
void redirectThriftOutput();

//! Converts \a rumours to the type of the peer interface.
std::vector<wire::Rumour> toWire(std::span<const Rumour> rumours);

/*!
    Converts \a rumours from the type of the peer interface. Kinds that this version does not know
    are omitted.
*/
std::vector<Rumour> fromWire(std::span<const wire::Rumour> rumours);

} // namespace sesame
