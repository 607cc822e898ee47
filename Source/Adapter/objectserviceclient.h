#pragma once

#include "Core/ports.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

struct ObjectServiceClientOptions
{
    std::string url; //!< Base URL, for example "http://192.0.2.1:7000".
    std::chrono::milliseconds timeout {2000};
};

struct ObjectListEntry
{
    std::string key;
    std::uint64_t version = 0; //!< 0 in a watch answer if the object was deleted.
};

struct ObjectList
{
    std::uint64_t revision = 0; //!< Where the next watch continues.
    std::vector<ObjectListEntry> objects;
};

/*!
    Client of the platform's object service. Holds no state between calls, so that several
    threads may use one client.
*/
class ObjectServiceClient
{
public:
    explicit ObjectServiceClient(ObjectServiceClientOptions options);

    /*!
        Returns the object \a key with status Ok, NotFound or Unavailable.
    */
    StoreResult read(std::string_view key) const;

    /*!
        Writes \a value if the object's version is \a expectedVersion; 0 means that the object
        must not exist. Returns Ok, Conflict, Unavailable or AnswerLost.
    */
    StoreResult writeIf(std::string_view key, std::string_view value,
                        std::uint64_t expectedVersion) const;

    /*!
        Deletes the object \a key if its version is \a expectedVersion.
    */
    StoreResult removeIf(std::string_view key, std::uint64_t expectedVersion) const;

    /*!
        Returns the objects whose key starts with \a prefix, without their values, or
        std::nullopt with a last reason.
    */
    std::optional<ObjectList> list(std::string_view prefix) const;

    /*!
        Waits at most \a wait until an object under \a prefix has changed after revision
        \a afterRevision, and returns the changed objects; none at the timeout. A lower revision
        than \a afterRevision means that the service was restored from an older copy.
        Returns std::nullopt with a last reason if the service cannot be reached.
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
