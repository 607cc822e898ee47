#pragma once

#include <jansson.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    The parts of a chat request that determine the stand-in's answer.
*/
struct EnginePrompt
{
    std::uint64_t hash = 0; //!< Hash of all messages except a continued last one.
    std::uint64_t startIndex = 0; //!< Word count of the continued message, or 0.
    std::uint64_t tokenCount = 0; //!< Word count of all messages, with the continued one.
    std::uint64_t byteCount = 0; //!< Length of the text that is divided into blocks.
    std::vector<std::uint64_t> blockHashes; //!< Result of hashPromptBlocks().
    bool crashesEngine = false; //!< A message contains "CRASH-ENGINE".
};

/*!
    Reads the prompt from "messages" and "continue_final_message" of \a body.
*/
EnginePrompt readPrompt(const json_t *body);

/*!
    Returns the number of words in \a text.
*/
std::uint64_t countWords(std::string_view text);

/*!
    Returns answer token \a index for the prompt with \a hash: a short word and a space.
*/
std::string tokenAt(std::uint64_t hash, std::uint64_t index);

/*!
    Returns the tokens from index \a from up to but excluding \a to as one text.
*/
std::string tokenText(std::uint64_t hash, std::uint64_t from, std::uint64_t to);

} // namespace sesame
