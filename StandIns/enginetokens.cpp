#include "enginetokens.h"

#include "Adapter/json.h"
#include "Core/promptblocks.h"

#include <xxhash.h>

#include <array>

namespace sesame {

namespace {

constexpr std::array<std::string_view, 16> syllables {"ba", "de", "fi", "go", "hu", "ka",
                                                      "le", "mi", "no", "pu", "ra", "se",
                                                      "ti", "vo", "wu", "za"};
constexpr std::uint64_t syllableMask = syllables.size() - 1;
constexpr unsigned syllableBits = 4;
constexpr unsigned lengthShift = 60;
constexpr std::string_view whitespace = " \t\r\n";

template <typename Visitor>
void forEachWord(std::string_view text, const Visitor &visit)
{
    std::size_t begin = text.find_first_not_of(whitespace);
    while (begin != std::string_view::npos) {
        const std::size_t end = std::min(text.find_first_of(whitespace, begin), text.size());
        visit(text.substr(begin, end - begin));
        begin = text.find_first_not_of(whitespace, end);
    }
}

} // namespace

std::uint64_t countWords(std::string_view text)
{
    std::uint64_t n = 0;
    forEachWord(text, [&n](std::string_view) {
        ++n;
    });
    return n;
}

EnginePrompt readPrompt(const json_t *body)
{
    const json_t *messages = json_object_get(body, "messages");
    const std::size_t count = json_array_size(messages);
    std::string text;
    EnginePrompt prompt;
    for (std::size_t n = 0; n < count; ++n) {
        const json_t *message = json_array_get(messages, n);
        const std::string role = jsonString(message, "role");
        const std::string content = jsonString(message, "content");
        const bool last = n + 1 == count;
        if (last && role == "assistant" && jsonBool(body, "continue_final_message")) {
            prompt.startIndex = countWords(content);
            prompt.hash = XXH64(text.data(), text.size(), 0);
            text.append(content);
            break;
        }
        text.append(role).append("\n").append(content).append("\n");
        prompt.hash = XXH64(text.data(), text.size(), 0);
    }
    prompt.tokenCount = countWords(text);
    prompt.byteCount = text.size();
    prompt.blockHashes = hashPromptBlocks(text);
    prompt.crashesEngine = text.find("CRASH-ENGINE") != std::string::npos;
    return prompt;
}

std::string tokenAt(std::uint64_t hash, std::uint64_t index)
{
    std::uint64_t bits = XXH64(&index, sizeof(index), hash);
    const std::uint64_t length = 1 + (bits >> lengthShift) % 3;
    std::string token;
    for (std::uint64_t n = 0; n < length; ++n) {
        token.append(syllables[bits & syllableMask]);
        bits >>= syllableBits;
    }
    return token.append(" ");
}

std::string tokenText(std::uint64_t hash, std::uint64_t from, std::uint64_t to)
{
    std::string text;
    for (std::uint64_t n = from; n < to; ++n)
        text.append(tokenAt(hash, n));
    return text;
}

} // namespace sesame
