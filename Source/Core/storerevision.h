#pragma once

#include <compare>
#include <cstdint>

namespace sesame {

/*!
    Revision of an object in the store. The store gives revisions out again after it was restored
    from an older copy, and then raises its era, so that both together order all changes.
*/
struct StoreRevision
{
    std::uint64_t era = 0; //!< 0 if the store states none.
    std::uint64_t number = 0;

    auto operator<=>(const StoreRevision &) const = default;
};

} // namespace sesame
