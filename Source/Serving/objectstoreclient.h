#pragma once

#include "Adapter/json.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sesame {

/*!
    An object of the store, or the news of its removal.
*/
struct StoredObject
{
    std::string name;
    std::uint64_t revision = 0;
    bool removed = false;
    std::shared_ptr<json_t> content; //!< Null if it could not be read.
};

enum class StoreCallStatus {
    Ok,
    NotFound,
    Conflict, //!< The object's revision is another one.
    HistoryGone, //!< The watched revision is too old; list again.
    Refused, //!< Nothing was done.
    Unknown //!< No answer; a write may have taken effect or take effect later.
};

struct StoreReadResult
{
    StoreCallStatus status = StoreCallStatus::Unknown;
    std::vector<StoredObject> objects;
    std::uint64_t revision = 0; //!< Of the store, from which a watch continues.
};

struct StoreWriteResult
{
    StoreCallStatus status = StoreCallStatus::Unknown;
    std::uint64_t revision = 0; //!< Of the object after an accepted write.
};

/*!
    Calls to the store. Every call ends within its time limit.
*/
class ObjectStoreClient
{
public:
    using ReadCompletion = std::function<void(StoreReadResult)>;
    using WriteCompletion = std::function<void(StoreWriteResult)>;

    virtual ~ObjectStoreClient() = default;

    /*!
        Lists all objects of \a kind. A stale answer is cheaper and may be seconds old.
    */
    virtual void list(const std::string &kind, bool allowStale, ReadCompletion completion) = 0;

    /*!
        Waits up to \a maxWait for changes of \a kind after \a revision.
    */
    virtual void watch(const std::string &kind, std::uint64_t revision,
                       std::chrono::milliseconds maxWait, ReadCompletion completion)
            = 0;

    virtual void create(const std::string &kind, const std::string &name, const json_t *content,
                        WriteCompletion completion)
            = 0;

    /*!
        Replaces an object, if \a revision is given only if that is its revision.
    */
    virtual void replace(const std::string &kind, const std::string &name, const json_t *content,
                         std::optional<std::uint64_t> revision, WriteCompletion completion)
            = 0;
    virtual void remove(const std::string &kind, const std::string &name,
                        WriteCompletion completion)
            = 0;
};

} // namespace sesame
