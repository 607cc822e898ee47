#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    The parts of a chat completion request that decide how it is served.
*/
struct ChatRequest
{
    std::string model;
    std::string prompt; //!< All messages as one text, for prefix routing and cost estimates.
    std::string receivedText; //!< Partial answer that a caller sends back to continue it.
    bool stream = false;
    std::int64_t maxTokens = 0;
    std::string body; //!< The request as JSON, without the partial answer.
};

/*!
    Parses the JSON text \a body of a chat completion request.
    Returns std::nullopt with code MalformedRequest as the last reason if it is invalid.
*/
std::optional<ChatRequest> parseChatRequest(std::string_view body);

/*!
    Returns the JSON text that asks a backend server to run \a request and to go on after
    \a prefix. The server keeps the stream for \a keepSeconds after a lost connection.
*/
std::string makeEngineBody(const ChatRequest &request, std::string_view prefix,
                           std::int64_t keepSeconds);

/*!
    Returns a rough number of tokens in \a text; a word counts as one.
*/
std::int64_t estimateTokens(std::string_view text);

/*!
    Returns a hash of \a account and \a body that all nodes agree on, as hexadecimal text.
*/
std::string makeFingerprint(std::string_view account, std::string_view body);

} // namespace sesame
