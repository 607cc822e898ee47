#include "Core/promptblocks.h"

#include <xxhash.h>

namespace sesame {

std::vector<std::uint64_t> hashPromptBlocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    blocks.reserve(prompt.size() / promptBlockBytes);
    std::uint64_t seed = 0;
    for (std::size_t at = 0; at + promptBlockBytes <= prompt.size(); at += promptBlockBytes) {
        seed = XXH3_64bits_withSeed(prompt.data() + at, promptBlockBytes, seed);
        blocks.push_back(seed);
    }
    return blocks;
}

std::uint64_t computeRequestFingerprint(std::string_view account, std::string_view content)
{
    const std::uint64_t seed = XXH3_64bits(account.data(), account.size());
    return XXH3_64bits_withSeed(content.data(), content.size(), seed);
}

} // namespace sesame
