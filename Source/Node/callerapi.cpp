#include "Node/callerapi.h"

#include "Adapter/json.h"
#include "Node/requestresult.h"

#include <openssl/sha.h>

#include <array>
#include <string_view>

namespace sesame {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view requestsPath = "/v1/requests/";
constexpr std::chrono::milliseconds refusalRetryAfter {500};

std::string hexSha256(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), hash.data());
    std::string hex;
    for (const unsigned char byte : hash) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

const Account *findAccount(const FleetConfig &config, const HttpRequest &request)
{
    const std::string header = request.header("Authorization").value_or("");
    if (!header.starts_with(bearerPrefix))
        return nullptr;
    const std::string hash = hexSha256(std::string_view(header).substr(bearerPrefix.size()));
    for (const Account &account : config.accounts) {
        if (account.keySha256 == hash)
            return &account;
    }
    return nullptr;
}

const Route *findRoute(const FleetConfig &config, std::string_view path)
{
    const Route *longest = nullptr;
    for (const Route &route : config.routes) {
        const bool matches = path.starts_with(route.prefix)
                && (path.size() == route.prefix.size() || path[route.prefix.size()] == '/');
        if (matches && (!longest || route.prefix.size() > longest->prefix.size()))
            longest = &route;
    }
    return longest;
}

} // namespace

HttpResponse CallerApi::handle(const HttpRequest &request)
{
    if (request.method == "GET" && request.path == "/v1/entries")
        return listEntries();
    if (const auto reason = findRefusalReason())
        return makeResultResponse(makeNotRunResult(*reason, refusalRetryAfter));
    const auto config = m_context.config();
    if (request.body.size() > config->defaults.bodyLimitBytes) {
        return makeResultResponse(makeNotRunResult(
                {.code = ResultCode::BodyTooLarge,
                 .text = "body: the limit is " + std::to_string(config->defaults.bodyLimitBytes)
                         + " bytes"}));
    }
    const Account *account = findAccount(*config, request);
    if (!account) {
        return makeResultResponse(
                makeNotRunResult({.code = ResultCode::UnknownAccount,
                                  .text = "Authorization: no account has this key"}));
    }
    return handleForAccount(request, *config, *account);
}

std::optional<FailureReason> CallerApi::findRefusalReason()
{
    if (!m_context.lifecycle.acceptsRequests()) {
        return FailureReason {.code = ResultCode::NodeLeaving,
                              .text = "the node is "
                                      + std::string(toString(m_context.lifecycle.phase()))};
    }
    if (!m_context.fleet.lock()->canServe(m_context.clock.now())) {
        return FailureReason {.code = ResultCode::ConfigurationUnconfirmed,
                              .text = "the node cannot confirm its configuration"};
    }
    return std::nullopt;
}

HttpResponse CallerApi::handleForAccount(const HttpRequest &request, const FleetConfig &config,
                                         const Account &account)
{
    if (request.path == "/v1/chat/completions") {
        if (request.method == "POST")
            return m_models.completeChat(request, account);
        return makeResultResponse(
                makeNotRunResult({.code = ResultCode::MalformedRequest, .text = "use POST"}));
    }
    if (request.path.starts_with(requestsPath))
        return m_models.resume(request, account);
    if (const Route *route = findRoute(config, request.path))
        return m_routes.call(request, account, *route);
    return makeResultResponse(makeNotRunResult(
            {.code = ResultCode::UnknownRoute, .text = "no route for " + request.path}));
}

HttpResponse CallerApi::listEntries()
{
    const auto config = m_context.config();
    const auto ttl = config ? config->defaults.entryTtl : FleetDefaults().entryTtl;
    const JsonPtr body(json_object());
    json_object_set_new(body.get(), "ttl_seconds", json_integer(ttl.count()));
    json_t *entries = json_array();
    json_object_set_new(body.get(), "entries", entries);
    const bool listSelf = m_context.lifecycle.phase() == NodePhase::Serving;
    for (const Peer &peer : m_context.membership.lock()->liveNodes()) {
        if (peer.state != PeerState::Alive || (peer.node == m_context.settings.node && !listSelf))
            continue;
        const std::string address = "http://" + peer.callerAddress.host + ":"
                + std::to_string(peer.callerAddress.port);
        json_array_append_new(entries,
                              json_pack("{s:s,s:s,s:s,s:i}", "node", peer.node.c_str(), "address",
                                        address.c_str(), "zone", peer.zone.c_str(), "weight", 1));
    }
    return makeJsonResponse(dumpJson(body.get()));
}

} // namespace sesame
