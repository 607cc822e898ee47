#pragma once

#include "Adapter/sesameadapter.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace sesame {

struct ObjectServiceOptions
{
    Endpoint address;
};

/*!
    Stand-in for the platform's object service, with injected outages, delays and lost answers.

    The version of an object is the revision of the write that produced it, so a version is not
    reused when an object is deleted and created again. A deleted object appears in watch answers
    with version 0. Restoring a snapshot also restores the revision, as when a service is restored
    from an older copy.
*/
class ObjectService
{
public:
    /*!
        Answers one HTTP request. May be called from several threads; a watch blocks.
    */
    HttpResponse handle(const HttpRequest &request);

    /*!
        Ends the waiting watches so that the server can stop.
    */
    void stop();

private:
    struct Object
    {
        std::string value;
        std::uint64_t version = 0;
        std::uint64_t changedAt = 0; //!< Revision of the last write or deletion.
    };

    struct StoredState
    {
        std::map<std::string, Object, std::less<>> objects;
        std::uint64_t revision = 0;
    };

    struct Faults
    {
        bool outage = false;
        bool refuseWrites = false;
        std::int64_t delayMillis = 0;
        std::int64_t answersToLose = 0;
    };

    struct CallCounts
    {
        std::int64_t reads = 0;
        std::int64_t writes = 0;
        std::int64_t watches = 0;
        std::int64_t bytes = 0;
    };

    HttpResponse handleControl(const HttpRequest &request);
    HttpResponse handleObject(const HttpRequest &request);
    HttpResponse read(const std::string &key);
    HttpResponse write(const HttpRequest &request, const std::string &key);
    HttpResponse list(const HttpRequest &request);
    HttpResponse watch(const HttpRequest &request);
    HttpResponse listChanges(const std::string &prefix, std::uint64_t after,
                             bool includesDeleted) const;
    bool hasChanges(const std::string &prefix, std::uint64_t after) const;
    void setFaults(const json_t *body);
    void applyDelay();

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    StoredState m_state;
    StoredState m_snapshot;
    Faults m_faults;
    CallCounts m_counts;
    bool m_stopping = false;
};

/*!
    Serves an ObjectService until SIGTERM or SIGINT arrives. Returns the exit code.
*/
int runObjectService(const ObjectServiceOptions &options);

} // namespace sesame
