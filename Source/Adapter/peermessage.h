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

constexpr int peerFrameLimitBytes = 2 << 20;
constexpr int peerListLimit = 65536; //!< Longest list in a peer message.

/*!
    Identity and key that peer messages are sealed with.
*/
struct PeerIdentity
{
    std::string node;
    std::string key;
};

//! Context of a request's authentication code.
constexpr std::string_view requestContext = "request";

wire::SealedMessage sealRequest(const PeerIdentity &identity, const wire::PeerRequest &request,
                                WallMillis now);

/*!
    Seals \a answer to the request whose authentication code is \a requestCode, so that it cannot
    be passed off as the answer to another request.
*/
wire::SealedMessage sealAnswer(const PeerIdentity &identity, const wire::PeerAnswer &answer,
                               std::string_view requestCode, WallMillis now);

/*!
    Returns the content of \a message, or std::nullopt with ResultCode::PeerUnauthenticated if its
    seal is wrong or its body cannot be read.
*/
std::optional<wire::PeerRequest> openRequest(std::string_view key,
                                             const wire::SealedMessage &message, WallMillis now);
std::optional<wire::PeerAnswer> openAnswer(std::string_view key, const wire::SealedMessage &message,
                                           std::string_view requestCode, WallMillis now);

/*!
    Sends Thrift's messages about broken connections and unreadable frames, which any host can
    cause, to the log at debug level instead of standard error.
*/
void redirectThriftOutput();

std::vector<wire::Rumour> toWire(std::span<const Rumour> rumours);

/*!
    Converts \a rumours and leaves out kinds that this version does not know.
*/
std::vector<Rumour> fromWire(std::span<const wire::Rumour> rumours);

} // namespace sesame
