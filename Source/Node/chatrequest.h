#pragma once

#include <chrono>
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
    Where an engine goes on with a request that another attempt has partly answered.
*/
struct Continuation
{
    std::string_view text; //!< Text that the caller already has.
    std::uint64_t tokens = 0; //!< Number of its tokens.
};

/*!
    Returns the JSON text that asks a backend server to run \a request from \a start on. The
    server keeps the stream for \a retention after a lost connection.
*/
std::string makeEngineBody(const ChatRequest &request, const Continuation &start,
                           std::chrono::seconds retention);

/*!
    Returns a rough number of tokens in \a text; a word counts as one.
*/
std::int64_t estimateTokenCount(std::string_view text);

} // namespace sesame
