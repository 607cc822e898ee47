#include "Core/resumetoken.h"

#include "Core/lastreason.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace sesame {

namespace {

constexpr char formatVersion = 1;
constexpr std::size_t maxTokenLength = 4096;
constexpr unsigned bitsPerByte = 8;

std::string encodeBase64Url(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto *in = reinterpret_cast<const unsigned char *>(bytes.data());
    auto *out = reinterpret_cast<unsigned char *>(text.data());
    const int n = EVP_EncodeBlock(out, in, static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    text.erase(std::min(text.find('='), text.size()));
    return text;
}

std::optional<std::string> decodeBase64Url(std::string_view text)
{
    std::string padded(text);
    std::replace(padded.begin(), padded.end(), '-', '+');
    std::replace(padded.begin(), padded.end(), '_', '/');
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::string bytes(padded.size() / 4 * 3, '\0');
    const auto *in = reinterpret_cast<const unsigned char *>(padded.data());
    auto *out = reinterpret_cast<unsigned char *>(bytes.data());
    if (EVP_DecodeBlock(out, in, static_cast<int>(padded.size())) < 0)
        return std::nullopt;
    if (padding > 2)
        return std::nullopt;
    bytes.resize(bytes.size() - padding);
    // EVP_DecodeBlock ignores blanks and unused bits, so that several texts would decode to the
    // same token. Only the canonical text is accepted.
    if (encodeBase64Url(bytes) != text)
        return std::nullopt;
    return bytes;
}

std::string computeMac(std::string_view payload, std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac {};
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(payload.data()), payload.size(), mac.data(),
         &length);
    return {reinterpret_cast<const char *>(mac.data()), length};
}

bool areMacsEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

class TokenWriter
{
public:
    void addNumber(std::uint64_t value)
    {
        for (std::size_t n = 0; n < sizeof(value); ++n)
            m_bytes.push_back(static_cast<char>(value >> (n * bitsPerByte)));
    }

    void addText(std::string_view text)
    {
        addNumber(text.size());
        m_bytes.append(text);
    }

    void addByte(char byte) { m_bytes.push_back(byte); }

    const std::string &bytes() const { return m_bytes; }

private:
    std::string m_bytes;
};

/*!
    Reads bytes written by TokenWriter. Reading past the end returns zeros or empty text, and
    isComplete() returns false from then on.
*/
class TokenReader
{
public:
    explicit TokenReader(std::string_view bytes) : m_bytes(bytes) { }

    std::uint64_t readNumber()
    {
        std::uint64_t value = 0;
        const std::string_view bytes = takeBytes(sizeof(value));
        for (std::size_t n = 0; n < bytes.size(); ++n)
            value |= std::uint64_t(static_cast<unsigned char>(bytes[n])) << (n * bitsPerByte);
        return value;
    }

    std::string readText() { return std::string(takeBytes(readNumber())); }

    char readByte()
    {
        const std::string_view bytes = takeBytes(1);
        return bytes.empty() ? '\0' : bytes.front();
    }

    bool isComplete() const { return m_valid && m_bytes.empty(); }

private:
    std::string_view takeBytes(std::uint64_t size)
    {
        if (size > m_bytes.size()) {
            m_valid = false;
            return {};
        }
        const std::string_view bytes = m_bytes.substr(0, size);
        m_bytes.remove_prefix(size);
        return bytes;
    }

    std::string_view m_bytes;
    bool m_valid = true;
};

std::string serialize(const ResumeToken &token)
{
    TokenWriter writer;
    writer.addByte(formatVersion);
    writer.addText(token.engineAddress.host);
    writer.addNumber(token.engineAddress.port);
    writer.addText(token.engineId);
    writer.addNumber(token.engineIncarnation);
    writer.addNumber(token.attempt);
    writer.addText(token.requestId);
    writer.addText(token.account);
    writer.addText(token.model);
    writer.addNumber(static_cast<std::uint64_t>(token.rank));
    writer.addNumber(static_cast<std::uint64_t>(token.expiry));
    writer.addNumber(token.promptTokens);
    return writer.bytes();
}

std::optional<ResumeToken> deserialize(std::string_view bytes)
{
    TokenReader reader(bytes);
    if (reader.readByte() != formatVersion)
        return std::nullopt;
    ResumeToken token;
    token.engineAddress.host = reader.readText();
    token.engineAddress.port = static_cast<std::uint16_t>(reader.readNumber());
    token.engineId = reader.readText();
    token.engineIncarnation = reader.readNumber();
    token.attempt = reader.readNumber();
    token.requestId = reader.readText();
    token.account = reader.readText();
    token.model = reader.readText();
    const std::uint64_t rank = reader.readNumber();
    token.rank = static_cast<Rank>(rank);
    token.expiry = static_cast<WallMillis>(reader.readNumber());
    token.promptTokens = reader.readNumber();
    if (!reader.isComplete() || rank >= rankCount)
        return std::nullopt;
    return token;
}

} // namespace

std::string_view toString(TokenError error)
{
    switch (error) {
    case TokenError::Malformed:
        return "resume token: malformed";
    case TokenError::SignatureMismatch:
        return "resume token: signature does not match";
    case TokenError::Expired:
        return "resume token: expired";
    case TokenError::WrongAccount:
        return "resume token: issued to another account";
    }
    return "resume token: invalid";
}

std::string ResumeToken::sign(std::string_view key) const
{
    const std::string payload = serialize(*this);
    return encodeBase64Url(payload) + "." + encodeBase64Url(computeMac(payload, key));
}

std::optional<ResumeToken> ResumeToken::verify(std::string_view text, std::string_view key,
                                               std::string_view account, WallMillis now,
                                               TokenError *error)
{
    const auto reject = [error](TokenError value) {
        if (error)
            *error = value;
        return fail(ResultCode::TokenInvalid, std::string(toString(value)));
    };
    const std::size_t dot = text.find('.');
    if (text.size() > maxTokenLength || dot == std::string_view::npos)
        return reject(TokenError::Malformed);
    const auto payload = decodeBase64Url(text.substr(0, dot));
    const auto mac = decodeBase64Url(text.substr(dot + 1));
    if (!payload || !mac)
        return reject(TokenError::Malformed);
    if (!areMacsEqual(*mac, computeMac(*payload, key)))
        return reject(TokenError::SignatureMismatch);
    auto token = deserialize(*payload);
    if (!token)
        return reject(TokenError::Malformed);
    if (token->account != account)
        return reject(TokenError::WrongAccount);
    if (token->expiry <= now)
        return reject(TokenError::Expired);
    return token;
}

} // namespace sesame
