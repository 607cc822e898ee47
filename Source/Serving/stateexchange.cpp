#include "Serving/stateexchange.h"

#include "Adapter/log.h"
#include "Core/storerevision.h"
#include "Core/wireformat.h"
#include "Serving/clocks.h"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr auto fetchTimeout = 1000ms;
constexpr std::size_t maxConnections = 256;
constexpr std::string_view pathPrefix = "/state/";
constexpr std::string_view sinceParameter = "?since=";
constexpr unsigned ok = 200;
constexpr unsigned notFound = 404;

} // namespace

StateExchange::StateExchange(asio::io_context &context, ServingState &state)
    : m_context(context), m_state(state),
      m_listener(
              context,
              [this](const std::shared_ptr<ServerConnection> &connection,
                     RequestMessage &&request) {
                  answer(connection, request);
              },
              maxConnections)
{
}

void StateExchange::addReplica(const std::string &name, ObjectReplica &replica,
                               wire::StateVersion wire::Sender::*versionOf, Duration ageAllowance,
                               ChangeHandler handler)
{
    m_kinds[name] = {.replica = &replica,
                     .versionOf = versionOf,
                     .ageAllowance = ageAllowance,
                     .handler = std::move(handler)};
}

boost::system::error_code StateExchange::open()
{
    m_listener.setMemory(m_state.clientMemory);
    return m_listener.open(
            Tcp::endpoint(m_state.settings.entryAddress.address(), m_state.settings.exchangePort));
}

void StateExchange::compare(const wire::Sender &sender)
{
    // The state was as old as the sender states when it sent the datagram.
    const Timestamp sentAt = bootNow()
            - m_transitMeter.measure(sender.member.node, sender.incarnation, sender.trueMillis,
                                     bootMillis());
    for (auto &[name, kind] : m_kinds) {
        const wire::StateVersion &version = sender.*kind.versionOf;
        // A node that doesn't follow the kind sends an empty version.
        if (version.ageMillis < 0 || version.revision <= 0)
            continue;
        const Timestamp knownAt = sentAt - Milliseconds(version.ageMillis);
        kind.peerKnownAt = kind.peerKnownAt ? std::max(*kind.peerKnownAt, knownAt) : knownAt;
        kind.replica->confirm(version, sentAt);
        const bool isBehind = !kind.replica->hasState()
                || version.revision > kind.replica->revision();
        if (isBehind && !kind.isFetching)
            fetch(name, kind, sender);
    }
}

std::optional<Duration> StateExchange::age() const
{
    std::optional<Duration> oldest;
    for (const auto &[name, kind] : m_kinds) {
        const std::optional<Duration> age = kind.replica->age(bootNow());
        if (!age)
            return std::nullopt;
        oldest = std::max(oldest.value_or(Duration::zero()), *age - kind.ageAllowance);
    }
    return oldest;
}

std::optional<Duration> StateExchange::peerAge() const
{
    std::optional<Duration> oldest;
    for (const auto &[name, kind] : m_kinds) {
        if (!kind.peerKnownAt)
            return std::nullopt;
        const Duration age = bootNow() - *kind.peerKnownAt;
        oldest = std::max(oldest.value_or(Duration::zero()), age - kind.ageAllowance);
    }
    return oldest;
}

void StateExchange::answer(const std::shared_ptr<ServerConnection> &connection,
                           const RequestMessage &request)
{
    std::string_view target = toStd(request.target());
    const std::size_t parameter = target.find(sinceParameter);
    std::int64_t since = 0;
    const bool isValid = target.starts_with(pathPrefix) && parameter != std::string_view::npos
            && absl::SimpleAtoi(std::string(target.substr(parameter + sinceParameter.size())),
                                &since);
    const auto found = isValid ? m_kinds.find(std::string(
                               target.substr(pathPrefix.size(), parameter - pathPrefix.size())))
                               : m_kinds.end();
    if (found == m_kinds.end() || !found->second.replica->hasState()) {
        connection->sendResponse(notFound, {}, "no such state\n");
        return;
    }
    connection->sendResponse(ok, {},
                             encodeWire(found->second.replica->changesSince(since, bootNow())));
}

void StateExchange::fetch(const std::string &name, Kind &kind, const wire::Sender &source)
{
    const auto entry = parseTcpEndpoint(source.member.entryAddress);
    if (!entry)
        return;
    kind.isFetching = true;
    const std::int64_t since = kind.replica->hasState() ? kind.replica->revision() : -1;
    const auto caller = std::make_shared<HttpCaller>(
            m_context, Tcp::endpoint(entry->address(), m_state.settings.exchangePort));
    const std::string target = std::string(pathPrefix) + name + std::string(sinceParameter)
            + std::to_string(since);
    const Timestamp start = bootNow();
    HttpFields fields;
    // Sources change, so an idle connection would only take a place at the source.
    fields.set("Connection", "close");
    caller->call(
            "GET", target, fields, "", fetchTimeout,
            [this, caller, name, start, peer = source.member.node](const CallResponse &response) {
                Kind &fetched = m_kinds[name];
                fetched.isFetching = false;
                const auto update = response.status == ok
                        ? decodeWire<wire::ReplicaUpdate>(response.body)
                        : std::nullopt;
                if (!update) {
                    logEvent(LogLevel::Warning, "state.fetch_failed",
                             {{"kind", name},
                              {"peer", peer},
                              {"status", static_cast<std::int64_t>(response.status)}});
                    return;
                }
                // The age is as of the response; the start of the call is before that.
                const auto changed = fetched.replica->applyUpdate(*update, start);
                const auto revision = StoreRevision::fromOrdinal(update->version.revision);
                logEvent(LogLevel::Info, "state.fetched",
                         {{"kind", name},
                          {"peer", peer},
                          {"era", static_cast<std::int64_t>(revision.era)},
                          {"revision", static_cast<std::int64_t>(revision.number)},
                          {"age_ms", update->version.ageMillis},
                          {"changed", static_cast<std::int64_t>(changed.size())}});
                fetched.handler(changed);
            });
}

} // namespace sesame
