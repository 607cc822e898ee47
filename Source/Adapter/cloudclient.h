#pragma once

#include "Adapter/backendclient.h"
#include "Adapter/json.h"
#include "Core/backendtable.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

struct NoticeBatch
{
    std::int64_t sequence = 0; //!< To be passed to the next call of fetchNotices().
    std::vector<ReclaimNotice> notices;
};

struct StartRequest
{
    std::string clientToken; //!< Repeating an order with its token starts nothing new.
    std::string className;
    std::string zone;
    Market market = Market::Reclaimable;
};

enum class StartStatus {
    Started,
    Refused, //!< No capacity for this class, zone and market.
    Unavailable, //!< Nothing was started.
    AnswerLost //!< To be repeated with the same client token.
};

struct StartResult
{
    StartStatus status = StartStatus::Unavailable;
    std::string instance; //!< Id of the started instance.
};

/*!
    The cloud API's calls. Safe to use from several threads.
*/
class CloudClient
{
public:
    /*!
        \a url is the base URL of the API, without a slash at its end.
    */
    explicit CloudClient(std::string url,
                         std::chrono::milliseconds timeout = std::chrono::seconds(2));

    /*!
        Returns the list of instances, which lags. Instances that have no address yet are left
        out. Returns std::nullopt with a last reason if the API does not answer.
    */
    std::optional<std::vector<ListedInstance>> fetchInstances() const;

    /*!
        As fetchInstances(), but with those that have no address yet.
    */
    std::optional<std::vector<ListedInstance>> fetchAllInstances() const;

    /*!
        Returns the notices after sequence number \a after.
    */
    std::optional<NoticeBatch> fetchNotices(std::int64_t after) const;

    StartResult start(const StartRequest &order) const;

    /*!
        Stops \a instance. Returns true if it is stopped or does not exist, and false with a last
        reason if that is not known; repeating the call is safe.
    */
    bool stop(std::string_view instance) const;

private:
    BackendReply send(std::string method, std::string_view path, std::string body = {}) const;
    JsonPtr read(std::string_view path) const;

    std::string m_url;
    std::chrono::milliseconds m_timeout;
};

/*!
    Returns \a instance in the form of the cloud API's list.
*/
JsonPtr toJson(const ListedInstance &instance);

/*!
    Returns the instance that \a value describes, or std::nullopt if its id, kind, market or state
    is missing or unknown.
*/
std::optional<ListedInstance> instanceFromJson(const json_t *value);

/*!
    Returns the market that \a name ("reclaimable" or "on_demand") denotes.
*/
std::optional<Market> parseMarket(std::string_view name);

} // namespace sesame
