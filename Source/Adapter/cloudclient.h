#pragma once

#include "Adapter/backendclient.h"
#include "Adapter/jsonlist.h"
#include "Core/backendtable.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

//! Reclaim notices that one call of fetchNotices() returned.
struct NoticeBatch
{
    std::int64_t sequence = 0; //!< Argument of the next call of fetchNotices().
    std::vector<ReclaimNotice> notices;
};

//! Request to start an instance.
struct StartRequest
{
    std::string clientToken; //!< Makes the request idempotent: a repetition with the same token
                             //!< starts no second instance.
    std::string className;
    std::string zone;
    Market market = Market::Reclaimable;
};

//! Outcome of a request to start an instance.
enum class StartStatus {
    Started,
    Refused, //!< The API has no capacity for this class, zone and market.
    Unavailable, //!< The request was not sent, so no instance was started.
    AnswerLost //!< It is unknown whether an instance was started. The request must be repeated with
               //!< the same client token.
};

//! Result of CloudClient::start().
struct StartResult
{
    StartStatus status = StartStatus::Unavailable;
    std::string instance; //!< Id of the started instance; empty if status is not Started.
};

/*!
    Client of the cloud API. Its functions may be called from several threads at once.
*/
class CloudClient
{
public:
    /*!
        Creates a client for the API with the base URL \a url, which must not end with a slash. Each
        call fails if it takes longer than \a timeout.
    */
    explicit CloudClient(std::string url,
                         std::chrono::milliseconds timeout = std::chrono::seconds(2));

    /*!
        Returns the list of instances without those that have no address yet. The list may be out of
        date, because the API updates it with a delay. Returns std::nullopt and sets the last reason
        if there is no valid response.
    */
    std::optional<std::vector<ListedInstance>> fetchInstances() const;

    /*!
        Like fetchInstances(), but includes the instances that have no address yet.
    */
    std::optional<std::vector<ListedInstance>> fetchAllInstances() const;

    /*!
        Returns the reclaim notices whose sequence number is greater than \a after. Returns
        std::nullopt and sets the last reason if there is no valid response.
    */
    std::optional<NoticeBatch> fetchNotices(std::int64_t after) const;

    /*!
        Starts an instance.
    */
    StartResult start(const StartRequest &order) const;

    /*!
        Stops \a instance. Returns true if it is stopped or does not exist. Otherwise its state is
        unknown, and the function returns false and sets the last reason. The call is idempotent
        and can be repeated.
    */
    bool stop(std::string_view instance) const;

private:
    BackendReply send(std::string method, std::string_view path, std::string body = {}) const;
    std::optional<JsonList> readList(std::string_view path, std::string_view key) const;

    std::string m_url;
    std::chrono::milliseconds m_timeout;
};

/*!
    Returns \a instance as a JSON object in the format of the cloud API's list of instances.
*/
JsonPtr toJson(const ListedInstance &instance);

/*!
    Parses one element of the cloud API's list of instances. Returns std::nullopt if the id or the
    kind is missing, or if the kind, the market or the state is unknown.
*/
std::optional<ListedInstance> instanceFromJson(const json_t *value);

/*!
    Returns the market named \a name ("reclaimable" or "on_demand"), or std::nullopt for another
    name.
*/
std::optional<Market> parseMarket(std::string_view name);

} // namespace sesame
