#pragma once

#include "Core/ports.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sesame {

//! Maximum difference, in milliseconds, between the time of sending in a message and the receiver's
//! clock, in either direction. Other messages are rejected.
constexpr WallMillis messageTimeToleranceMillis = 30000;

/*!
    The input of a peer message's authentication code.
*/
struct AuthenticatedFields
{
    std::string_view context; //!< "request" for a request; for an answer, the authentication code
                              //!< of its request.
    std::string_view sender;
    WallMillis sentAt = 0;
    std::string_view body;
};

/*!
    Returns the HMAC-SHA-256 of \a fields under \a key. The lengths of the context and the sender
    are part of the input, so that two different messages never have the same input.
*/
std::string computeAuthenticationCode(std::string_view key, const AuthenticatedFields &fields);

/*!
    Returns whether \a code is the authentication code of \a fields under \a key and the message was
    sent within messageTimeToleranceMillis of \a now. If not, the last reason is set. The codes are
    compared in constant time, so that the duration reveals nothing about the correct code.
*/
bool verifyAuthenticationCode(std::string_view key, const AuthenticatedFields &fields,
                              std::string_view code, WallMillis now);

} // namespace sesame
