#pragma once

#include "Core/lastreason.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    Encodes the Thrift struct \a value with the compact protocol.
*/
template <typename T>
std::string encodeWire(const T &value)
{
    const auto buf = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buf);
    value.write(&protocol);
    return buf->getBufferAsString();
}

/*!
    Decodes a Thrift struct of type \c T from the compact protocol. Returns std::nullopt with a last
    reason if \a text cannot be decoded.
*/
template <typename T>
std::optional<T> decodeWire(std::string_view text)
{
    std::string copy(text);
    const auto buf = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
            reinterpret_cast<std::uint8_t *>(copy.data()), static_cast<std::uint32_t>(copy.size()));
    try {
        apache::thrift::protocol::TCompactProtocol protocol(buf);
        T value;
        value.read(&protocol);
        return value;
    } catch (const apache::thrift::TException &e) {
        return fail(ResultCode::StoreUnavailable, std::string("unreadable object: ") + e.what());
    }
}

} // namespace sesame
