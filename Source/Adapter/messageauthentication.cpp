#include "Adapter/messageauthentication.h"

#include "Core/lastreason.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace sesame {

std::string computeAuthenticationCode(std::string_view key, const AuthenticatedFields &fields)
{
    std::string text = std::to_string(fields.context.size());
    text.append(1, ' ').append(fields.context);
    text.append(1, ' ').append(std::to_string(fields.sender.size()));
    text.append(1, ' ').append(fields.sender);
    text.append(1, ' ').append(std::to_string(fields.sentAt));
    text.append(1, ' ').append(fields.body);
    std::array<unsigned char, EVP_MAX_MD_SIZE> code {};
    unsigned length = 0;
    const auto *data = reinterpret_cast<const unsigned char *>(text.data());
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, text.size(), code.data(),
         &length);
    return {reinterpret_cast<const char *>(code.data()), length};
}

bool verifyAuthenticationCode(std::string_view key, const AuthenticatedFields &fields,
                              std::string_view code, WallMillis now)
{
    const std::string expected = computeAuthenticationCode(key, fields);
    if (code.size() != expected.size()
        || CRYPTO_memcmp(code.data(), expected.data(), expected.size()) != 0) {
        fail(ResultCode::PeerUnauthenticated, "wrong authentication code");
        return false;
    }
    if (fields.sentAt < now - messageTimeToleranceMillis
        || fields.sentAt > now + messageTimeToleranceMillis) {
        fail(ResultCode::PeerUnauthenticated, "message time is more than 30 s off");
        return false;
    }
    return true;
}

} // namespace sesame
