#pragma once

#include "Core/ports.h"

#include <string>
#include <string_view>

namespace sesame {

/*!
    Reads and conditionally writes objects of the platform's object service over HTTP.
*/
class StoreClient
{
public:
    /*!
        \a baseUrl has no slash at its end.
    */
    explicit StoreClient(std::string baseUrl);

    StoreResult read(std::string_view key);
    StoreResult writeIf(std::string_view key, std::string_view value,
                        std::uint64_t expectedVersion);

private:
    std::string m_baseUrl;
};

static_assert(ObjectStore<StoreClient>);

} // namespace sesame
