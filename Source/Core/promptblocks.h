#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace sesame {

//! Prompt bytes per hashed block. About 64 tokens, the granularity of engine prefix caches.
constexpr std::size_t promptBlockBytes = 256;

/*!
    Returns one hash per full block of \a prompt. Each hash covers the whole prefix up to
    the end of its block, so equal hashes mean equal prefixes. All processes compute the
    same hashes (XXH3, 64 bits, seeded with the hash of the block before; the first seed
    is 0).
*/
std::vector<std::uint64_t> hashPromptBlocks(std::string_view prompt);

/*!
    Returns the fingerprint of a request: a hash of \a account and \a content.
*/
std::uint64_t computeRequestFingerprint(std::string_view account, std::string_view content);

} // namespace sesame
