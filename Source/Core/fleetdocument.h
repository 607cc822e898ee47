#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

//! Key of the fleet document in the platform's object service.
constexpr std::string_view fleetObjectKey = "fleet/current";

/*!
    A fleet file with the data that decides which of two documents is newer.

    The version belongs to the document and not to the object in the store, because the store's
    object version goes back when the store is restored from an older copy.
*/
struct FleetDocument
{
    std::uint64_t version = 0;
    std::uint32_t capacityLimit = 0; //!< Largest limit ever accepted; never below the file's.
    std::string applyId {}; //!< Identifies the `apply` that wrote the document.
    std::vector<std::string> earlierApplyIds {}; //!< Newest first; see maxEarlierApplyIds.
    std::string fleetFile {}; //!< The fleet file.

    bool operator==(const FleetDocument &other) const = default;
};

//! An `apply` with a lost answer finds its id here even if others have written since.
constexpr std::size_t maxEarlierApplyIds = 16;

/*!
    Returns the stored form of \a document: header lines, an empty line and the fleet file.
*/
std::string encodeFleetDocument(const FleetDocument &document);

/*!
    Returns the document stored as \a stored. Returns std::nullopt with a last reason if the
    header is malformed or the content hash does not match.
*/
std::optional<FleetDocument> decodeFleetDocument(std::string_view stored);

/*!
    Returns the XXH3 hash of \a text as 16 hexadecimal digits.
*/
std::string contentHash(std::string_view text);

} // namespace sesame
