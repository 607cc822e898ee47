#include "Core/sesamecore.h"

#include <criterion/criterion.h>

#include <random>
#include <string>

using namespace sesame;

namespace {

constexpr WallMillis now = 1'800'000'000'000;
const std::string key = "token-key";

ResumeToken makeToken()
{
    return {.engineAddress = {.host = "127.0.0.1", .port = 19001},
            .engineId = "engine-7",
            .engineIncarnation = 3,
            .attempt = 5,
            .requestId = "request \"1\"",
            .account = "loft",
            .model = "assess",
            .rank = Rank::Batch,
            .expiry = now + 1,
            .promptTokens = 12345};
}

TokenError verifyError(const std::string &text, const std::string &account, WallMillis time)
{
    TokenError error = TokenError::Malformed;
    cr_assert_not(ResumeToken::verify(text, key, account, time, &error).has_value());
    cr_assert_eq(lastReason().code, ResultCode::TokenInvalid);
    cr_assert(lastReason().text == toString(error));
    return error;
}

} // namespace

// Guards against fields that are lost or swapped when a token is encoded and decoded.
Test(resumetoken, roundTrip)
{
    const std::string text = makeToken().sign(key);
    cr_assert_eq(text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                        "0123456789-_."),
                 std::string::npos);
    const auto token = ResumeToken::verify(text, key, "loft", now);
    cr_assert(token.has_value());
    const ResumeToken expected = makeToken();
    cr_expect_str_eq(token->engineAddress.host.c_str(), expected.engineAddress.host.c_str());
    cr_expect_eq(token->engineAddress.port, expected.engineAddress.port);
    cr_expect_str_eq(token->engineId.c_str(), expected.engineId.c_str());
    cr_expect_eq(token->engineIncarnation, expected.engineIncarnation);
    cr_expect_eq(token->attempt, expected.attempt);
    cr_expect_str_eq(token->requestId.c_str(), expected.requestId.c_str());
    cr_expect_str_eq(token->account.c_str(), expected.account.c_str());
    cr_expect_str_eq(token->model.c_str(), expected.model.c_str());
    cr_expect_eq(token->rank, expected.rank);
    cr_expect_eq(token->expiry, expected.expiry);
    cr_expect_eq(token->promptTokens, expected.promptTokens);
}

// Guards against reading another account's answer with a copied token, and against expired tokens.
Test(resumetoken, refusesOtherAccountsAndTimes)
{
    const std::string text = makeToken().sign(key);
    cr_expect_eq(verifyError(text, "other", now), TokenError::WrongAccount);
    cr_expect_eq(verifyError(text, "", now), TokenError::WrongAccount);
    cr_expect_eq(verifyError(text, "loft", now + 1), TokenError::Expired);
    cr_expect_eq(verifyError(makeToken().sign("other-key"), "loft", now),
                 TokenError::SignatureMismatch);
}

// Guards against a token that still passes verification after one of its characters was changed.
Test(resumetoken, refusesEveryChangedCharacter)
{
    const std::string text = makeToken().sign(key);
    for (std::size_t n = 0; n < text.size(); ++n) {
        std::string changed = text;
        changed[n] = changed[n] == 'A' ? 'B' : 'A';
        const auto token = ResumeToken::verify(changed, key, "loft", now);
        cr_expect_not(token.has_value(), "position %zu", n);
        cr_expect_not(ResumeToken::verify(text.substr(0, n), key, "loft", now).has_value());
    }
}

// Guards against input that crashes the node, or that is accepted without a signature.
Test(resumetoken, refusesRandomText)
{
    std::mt19937_64 random(17);
    for (int n = 0; n < 20000; ++n) {
        std::string text(random() % 200, '\0');
        for (char &c : text)
            c = random() % 2 ? static_cast<char>("Az0-_."[random() % 6])
                             : static_cast<char>(random());
        cr_assert_not(ResumeToken::verify(text, key, "loft", now).has_value());
    }
    const std::string text = makeToken().sign(key);
    const std::string payload = text.substr(0, text.find('.') + 1);
    cr_expect_eq(verifyError(payload, "loft", now), TokenError::SignatureMismatch);
    cr_expect_eq(verifyError("", "loft", now), TokenError::Malformed);
    cr_expect_eq(verifyError(std::string(5000, 'A') + ".A", "loft", now), TokenError::Malformed);
}
