#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace sesame {

//! Bytes of a prompt per hashed block: about 64 tokens, the granularity of engine prefix caches.
constexpr std::size_t promptBlockBytes = 256;

/*!
    Returns one hash per full block of \a prompt. Each hash covers the whole prefix up to the end of
    its block, so equal hashes mean equal prefixes. All processes compute the same hashes: XXH3 with
    64 bits, seeded with the hash of the previous block, or with 0 for the first block.
*/
std::vector<std::uint64_t> hashPromptBlocks(std::string_view prompt);

/*!
    Returns the fingerprint of a request: a hash of \a account and \a content.
*/
std::uint64_t computeRequestFingerprint(std::string_view account, std::string_view content);

} // namespace sesame
