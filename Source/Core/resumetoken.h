#pragma once

#include "Core/fleetconfig.h"
#include "Core/nodesettings.h"
#include "Core/ports.h"

#include <optional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    Why a resume token was refused.
*/
enum class TokenError {
    Malformed, //!< The text is no token or has an unknown format version.
    SignatureMismatch, //!< The token was altered or signed with another key.
    Expired,
    WrongAccount
};

/*!
    Returns the text that lastReason() carries for \a error.
*/
std::string_view toString(TokenError error);

/*!
    Signed token with which a caller can resume its stream on any node.
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
    std::uint64_t promptTokens = 0; //!< Prompt length, for estimating the cost of recomputing it.

    /*!
        Returns the token encoded as base64url text and signed with HMAC-SHA-256 using \a key.
    */
    std::string sign(std::string_view key) const;

    /*!
        Verifies the signature of \a text with \a key, then that the token belongs to \a account
        and has not expired at \a now. If a check fails, the result is std::nullopt, the last
        reason has code TokenInvalid, and \a error, unless null, is set to the failed check.
    */
    static std::optional<ResumeToken> verify(std::string_view text, std::string_view key,
                                             std::string_view account, WallMillis now,
                                             TokenError *error = nullptr);
};

} // namespace sesame
