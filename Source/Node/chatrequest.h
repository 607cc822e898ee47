#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    The fields of a chat completion request that determine how it is served.
*/
struct ChatRequest
{
    std::string model;
    std::string prompt; //!< All messages as one text, used for prefix routing and cost estimates.
    std::string receivedText; //!< Partial answer that the caller sent back to be continued.
    bool stream = false;
    std::int64_t maxTokens = 0;
    std::string body; //!< The request as JSON without the partial answer.
};

/*!
    Parses the JSON text \a body of a chat completion request.
    Returns std::nullopt and sets the last reason with code MalformedRequest if it is invalid.
*/
std::optional<ChatRequest> parseChatRequest(std::string_view body);

/*!
    The position from which an engine continues a partly answered request.
*/
struct Continuation
{
    std::string_view text; //!< Text that was already delivered to the caller.
    std::uint64_t tokens = 0; //!< Number of tokens in the text.
};

/*!
    Returns the JSON request body that makes an engine run \a request from \a start on. The engine
    keeps the stream for \a retention after its connection is lost.
*/
std::string makeEngineBody(const ChatRequest &request, const Continuation &start,
                           std::chrono::seconds retention);

/*!
    Returns an estimate of the number of tokens in \a text: one per word.
*/
std::int64_t estimateTokenCount(std::string_view text);

} // namespace sesame
