#include "Adapter/httpclient.h"

#include "Adapter/backendclient.h"
#include "Core/lastreason.h"

namespace sesame {

std::optional<HttpReply> sendHttp(const HttpCall &call)
{
    BackendReply answer = callBackend(call);
    if (answer.status != CallStatus::Replied)
        return fail(ResultCode::BackendFailed, "no reply from " + call.url + ": " + answer.reason);
    return std::move(answer.reply);
}

} // namespace sesame
