#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

//! Key of the fleet document in the object service of the platform.
constexpr std::string_view fleetObjectKey = "fleet/current";

/*!
    A fleet file with its version, which determines the newer one of two documents.

    The version is part of the document and independent of the version of the object in the store,
    because the object version decreases when the store is restored from an older copy.
*/
struct FleetDocument
{
    std::uint64_t version = 0;
    //! Largest limit ever accepted, at least the limit in the fleet file.
    std::uint32_t capacityLimit = 0;
    std::string applyId {}; //!< Id of the `apply` that wrote the document.
    //! Ids of earlier writes, newest first, at most maxEarlierApplyIds.
    std::vector<std::string> earlierApplyIds {};
    std::string fleetFile {}; //!< Content of the fleet file.

    bool operator==(const FleetDocument &other) const = default;
};

//! Number of earlier ids in a document. An `apply` whose answer was lost finds its id there even if
//! others have written since.
constexpr std::size_t maxEarlierApplyIds = 16;

/*!
    Returns \a document in its stored format: header lines, an empty line and the fleet file.
*/
std::string encodeFleetDocument(const FleetDocument &document);

/*!
    Decodes a document from its stored format. Returns std::nullopt with a last reason if the header
    is malformed or the content hash does not match.
*/
std::optional<FleetDocument> decodeFleetDocument(std::string_view stored);

/*!
    Returns the XXH3 hash of \a text as 16 hexadecimal digits.
*/
std::string contentHash(std::string_view text);

} // namespace sesame
