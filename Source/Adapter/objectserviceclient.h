#pragma once

#include "Core/ports.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

//! Options of an ObjectServiceClient.
struct ObjectServiceClientOptions
{
    std::string url; //!< Base URL, for example "http://192.0.2.1:7000".
    std::chrono::milliseconds timeout {2000}; //!< Time limit of a call; watch() adds its wait.
};

//! Key and version of an object.
struct ObjectListEntry
{
    std::string key;
    std::uint64_t version = 0; //!< 0 in the result of a watch if the object was deleted.
};

//! Result of ObjectServiceClient::list() and watch().
struct ObjectList
{
    std::uint64_t revision = 0; //!< Revision from which the next watch continues.
    std::vector<ObjectListEntry> objects;
};

/*!
    Client of the platform's object service. It holds no state between calls, so several threads may
    use the same client.
*/
class ObjectServiceClient
{
public:
    explicit ObjectServiceClient(ObjectServiceClientOptions options);

    /*!
        Reads the object \a key. The status of the result is Ok, NotFound or Unavailable.
    */
    StoreResult read(std::string_view key) const;

    /*!
        Writes \a value to the object \a key if the object's version is \a expectedVersion, where 0
        means that the object must not exist. The status of the result is Ok, Conflict, Unavailable
        (nothing was written) or AnswerLost (it is unknown whether the object was written).
    */
    StoreResult writeIf(std::string_view key, std::string_view value,
                        std::uint64_t expectedVersion) const;

    /*!
        Deletes the object \a key if its version is \a expectedVersion. The status of the result is
        one of those of writeIf().
    */
    StoreResult removeIf(std::string_view key, std::uint64_t expectedVersion) const;

    /*!
        Returns the keys and versions of the objects whose key starts with \a prefix. Returns
        std::nullopt and sets the last reason if the service cannot be reached.
    */
    std::optional<ObjectList> list(std::string_view prefix) const;

    /*!
        Waits for at most \a wait until an object whose key starts with \a prefix has changed after
        revision \a afterRevision. Returns the changed objects, or an empty list after \a wait. If
        the revision of the result is lower than \a afterRevision, the service was restored from an
        older copy. Returns std::nullopt and sets the last reason if the service cannot be reached.
    */
    std::optional<ObjectList> watch(std::string_view prefix, std::uint64_t afterRevision,
                                    std::chrono::milliseconds wait) const;

private:
    StoreResult writeConditionally(std::string_view method, std::string_view key,
                                   std::string_view value, std::uint64_t expectedVersion) const;
    std::optional<ObjectList> fetchList(const std::string &path,
                                        std::chrono::milliseconds timeout) const;

    ObjectServiceClientOptions m_options;
};

static_assert(ObjectStore<ObjectServiceClient>);

} // namespace sesame
