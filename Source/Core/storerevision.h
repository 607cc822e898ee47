#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace sesame {

/*!
    Revision of an object in the store. The store gives revisions out again after it was restored
    from an older copy, and then raises its era, so that both together order all changes.
*/
struct StoreRevision
{
    //! Bits of an ordinal that count revisions: 21 years at 1,600 changes a second.
    static constexpr unsigned numberBits = 40;
    //! Latest era that fits into an ordinal.
    static constexpr std::uint64_t maxEra = (1ULL << 22U) - 1;

    std::uint64_t era = 0; //!< 0 if the store states none.
    std::uint64_t number = 0;

    auto operator<=>(const StoreRevision &) const = default;

    /*!
        Returns the revision as one number, which orders the revisions of all eras.
    */
    std::int64_t ordinal() const
    {
        return static_cast<std::int64_t>((std::min(era, maxEra) << numberBits) + number);
    }

    static StoreRevision fromOrdinal(std::int64_t ordinal)
    {
        const auto bits = static_cast<std::uint64_t>(ordinal);
        return {.era = bits >> numberBits, .number = bits & ((1ULL << numberBits) - 1)};
    }
};

} // namespace sesame
