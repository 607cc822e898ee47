#include "Adapter/peermessage.h"

#include "Adapter/log.h"
#include "Adapter/messageauthentication.h"
#include "Core/lastreason.h"

#include <thrift/TOutput.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace sesame {

namespace {

using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

template <typename Message>
std::string encode(const Message &message)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

template <typename Message>
std::optional<Message> decode(const std::string &body)
{
    try {
        auto buffer = std::make_shared<TMemoryBuffer>();
        buffer->write(reinterpret_cast<const std::uint8_t *>(body.data()),
                      static_cast<std::uint32_t>(body.size()));
        TCompactProtocolT<TMemoryBuffer> protocol(buffer, peerFrameLimitBytes, peerListLimit);
        Message message;
        message.read(&protocol);
        return message;
    } catch (const TException &e) {
        return fail(ResultCode::PeerUnauthenticated, std::string("unreadable body: ") + e.what());
    }
}

AuthenticatedFields makeAuthenticatedFields(const wire::SealedMessage &message,
                                            std::string_view context)
{
    return {.context = context,
            .sender = message.sender,
            .sentAt = message.sentAtMillis,
            .body = message.body};
}

wire::SealedMessage seal(const PeerIdentity &identity, std::string body, std::string_view context,
                         WallMillis now)
{
    wire::SealedMessage message;
    message.sender = identity.node;
    message.sentAtMillis = now;
    message.body = std::move(body);
    message.authenticationCode = computeAuthenticationCode(
            identity.key, makeAuthenticatedFields(message, context));
    return message;
}

template <typename Message>
std::optional<Message> open(std::string_view key, const wire::SealedMessage &message,
                            std::string_view context, WallMillis now)
{
    if (!verifyAuthenticationCode(key, makeAuthenticatedFields(message, context),
                                  message.authenticationCode, now))
        return std::nullopt;
    return decode<Message>(message.body);
}

void logThriftOutput(const char *text)
{
    logEvent(LogLevel::Debug, "thrift", {{"text", std::string_view(text)}});
}

} // namespace

wire::SealedMessage sealRequest(const PeerIdentity &identity, const wire::PeerRequest &request,
                                WallMillis now)
{
    return seal(identity, encode(request), requestContext, now);
}

wire::SealedMessage sealAnswer(const PeerIdentity &identity, const wire::PeerAnswer &answer,
                               std::string_view requestCode, WallMillis now)
{
    return seal(identity, encode(answer), requestCode, now);
}

std::optional<wire::PeerRequest> openRequest(std::string_view key,
                                             const wire::SealedMessage &message, WallMillis now)
{
    return open<wire::PeerRequest>(key, message, requestContext, now);
}

std::optional<wire::PeerAnswer> openAnswer(std::string_view key, const wire::SealedMessage &message,
                                           std::string_view requestCode, WallMillis now)
{
    return open<wire::PeerAnswer>(key, message, requestCode, now);
}

void redirectThriftOutput()
{
    apache::thrift::GlobalOutput.setOutputFunction(&logThriftOutput);
}

std::vector<wire::Rumour> toWire(std::span<const Rumour> rumours)
{
    std::vector<wire::Rumour> converted;
    converted.reserve(rumours.size());
    for (const Rumour &it : rumours) {
        wire::Rumour &rumour = converted.emplace_back();
        rumour.kind = static_cast<std::int32_t>(it.kind);
        rumour.subject = it.subject;
        rumour.incarnation = it.incarnation;
        rumour.detail = it.detail;
    }
    return converted;
}

std::vector<Rumour> fromWire(std::span<const wire::Rumour> rumours)
{
    constexpr auto first = static_cast<std::int32_t>(RumourKind::NodeAlive);
    constexpr auto last = static_cast<std::int32_t>(RumourKind::FingerprintQuarantined);
    std::vector<Rumour> converted;
    converted.reserve(rumours.size());
    for (const wire::Rumour &it : rumours) {
        if (it.kind < first || it.kind > last)
            continue;
        converted.push_back({.kind = static_cast<RumourKind>(it.kind),
                             .subject = it.subject,
                             .incarnation = it.incarnation,
                             .detail = it.detail});
    }
    return converted;
}

} // namespace sesame
