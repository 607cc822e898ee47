#pragma once

#include "Core/ports.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sesame {

//! Messages that were sealed longer ago, or later, than this are refused.
constexpr WallMillis messageTimeToleranceMillis = 30000;

/*!
    The fields of a peer message that its authentication code covers.
*/
struct AuthenticatedFields
{
    std::string_view context; //!< "request", or the code of the request that is answered.
    std::string_view sender;
    WallMillis sentAt = 0;
    std::string_view body;
};

/*!
    Returns the HMAC-SHA-256 of \a fields under \a key. The lengths of the texts are
    part of the input, so that no two different messages have the same one.
*/
std::string computeAuthenticationCode(std::string_view key, const AuthenticatedFields &fields);

/*!
    Returns whether \a code is the authentication code of \a fields under \a key and the message
    was sealed within messageTimeToleranceMillis of \a now. Otherwise the last reason tells why; the
    comparison takes the same time for every wrong code.
*/
bool verifyAuthenticationCode(std::string_view key, const AuthenticatedFields &fields,
                              std::string_view code, WallMillis now);

} // namespace sesame
