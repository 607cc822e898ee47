#pragma once

#include "Core/fleetconfig.h"
#include "Core/nodesettings.h"
#include "Core/ports.h"

#include <optional>
#include <string>
#include <string_view>

namespace sesame {

enum class TokenError {
    Malformed, //!< Not a token, or of an unknown format version.
    SignatureMismatch, //!< Altered, or signed with another key.
    Expired,
    WrongAccount
};

/*!
    Returns the text that lastReason() carries for \a error.
*/
std::string_view toString(TokenError error);

/*!
    What a caller presents to resume its stream on any node.
*/
struct ResumeToken
{
    Endpoint engineAddress;
    std::string engineId; //!< Instance id of the engine.
    std::uint64_t engineIncarnation = 0;
    std::uint64_t attempt = 0;
    std::string requestId;
    std::string account;
    std::string model;
    Rank rank = Rank::Standard;
    WallMillis expiry = 0;
    std::uint64_t promptTokens = 0; //!< Prompt length, for the cost of recomputing it.

    /*!
        Returns the token as base64url text, signed with HMAC-SHA-256 under \a key.
    */
    std::string sign(std::string_view key) const;

    /*!
        Checks the signature of \a text under \a key, then the expiry against \a now and the
        account. Returns std::nullopt with code TokenInvalid as the last reason if a check
        fails, and stores which one in \a error if it is not null.
    */
    static std::optional<ResumeToken> verify(std::string_view text, std::string_view key,
                                             std::string_view account, WallMillis now,
                                             TokenError *error = nullptr);
};

} // namespace sesame
