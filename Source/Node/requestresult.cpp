#include "Node/requestresult.h"

#include "Adapter/json.h"

namespace sesame {

namespace {

int httpStatusOfNotRun(ResultCode code)
{
    switch (code) {
    case ResultCode::MalformedRequest:
    case ResultCode::IdempotencyKeyMissing:
        return 400;
    case ResultCode::UnknownAccount:
        return 401;
    case ResultCode::RankNotGranted:
    case ResultCode::TokenInvalid:
        return 403;
    case ResultCode::UnknownModel:
    case ResultCode::UnknownRoute:
    case ResultCode::RequestNotFound:
        return 404;
    case ResultCode::IdempotencyKeyReused:
    case ResultCode::DuplicateRequest:
        return 409;
    case ResultCode::BodyTooLarge:
        return 413;
    default:
        return 503;
    }
}

void setString(json_t *object, const char *key, std::string_view text)
{
    json_object_set_new(object, key, json_stringn(text.data(), text.size()));
}

} // namespace

int toHttpStatus(const RequestResult &result)
{
    switch (result.outcome) {
    case Outcome::Complete:
        return 200;
    case Outcome::NotRun:
        return httpStatusOfNotRun(result.code);
    case Outcome::Failed:
        return result.code == ResultCode::BackendTimeout ? 504 : 502;
    case Outcome::Unknown:
        return 500;
    }
    return 500;
}

RequestResult makeNotRunResult(const FailureReason &reason, std::chrono::milliseconds retryAfter)
{
    return {.outcome = Outcome::NotRun,
            .code = reason.code,
            .reason = reason.text,
            .retryAfter = retryAfter};
}

void addResultHeaders(HttpResponse *response, const RequestResult &result)
{
    response->headers.emplace_back("X-Outcome", toString(result.outcome));
    response->headers.emplace_back("X-Result-Code", std::to_string(static_cast<int>(result.code)));
}

HttpResponse makeResultResponse(const RequestResult &result)
{
    const JsonPtr body(json_object());
    setString(body.get(), "outcome", toString(result.outcome));
    json_object_set_new(body.get(), "code", json_integer(static_cast<int>(result.code)));
    setString(body.get(), "name", toString(result.code));
    setString(body.get(), "reason", result.reason);
    if (result.retryAfter.count() > 0)
        json_object_set_new(body.get(), "retry_after_ms", json_integer(result.retryAfter.count()));
    HttpResponse response = makeJsonResponse(dumpJson(body.get()));
    response.status = toHttpStatus(result);
    addResultHeaders(&response, result);
    return response;
}

HttpResponse makeJsonResponse(std::string body)
{
    HttpResponse response;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

} // namespace sesame
