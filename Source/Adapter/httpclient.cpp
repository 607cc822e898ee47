#include "Adapter/httpclient.h"

#include "Core/lastreason.h"

#include <ulfius.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace sesame {

namespace {

constexpr unsigned long millisPerSecond = 1000;

struct RequestDeleter
{
    void operator()(_u_request *request) const { ulfius_clean_request_full(request); }
};

struct ResponseDeleter
{
    void operator()(_u_response *response) const { ulfius_clean_response_full(response); }
};

using RequestPtr = std::unique_ptr<_u_request, RequestDeleter>;
using ResponsePtr = std::unique_ptr<_u_response, ResponseDeleter>;

template <typename T>
T *allocate()
{
    return static_cast<T *>(o_malloc(sizeof(T)));
}

RequestPtr convertCall(const HttpCall &call)
{
    auto *raw = allocate<_u_request>();
    ulfius_init_request(raw);
    RequestPtr request(raw);
    const auto millis = static_cast<unsigned long>(call.timeout.count());
    // The library counts whole seconds; rounding up keeps a short timeout from meaning "none".
    const unsigned long seconds = (millis + millisPerSecond - 1) / millisPerSecond;
    ulfius_set_request_properties(raw, U_OPT_HTTP_VERB, call.method.c_str(), U_OPT_HTTP_URL,
                                  call.url.c_str(), U_OPT_TIMEOUT, seconds, U_OPT_NONE);
    for (const auto &[name, value] : call.headers)
        u_map_put(raw->map_header, name.c_str(), value.c_str());
    if (!call.body.empty())
        ulfius_set_binary_body_request(raw, call.body.data(), call.body.size());
    return request;
}

HttpReply convertResponse(const _u_response &response)
{
    HttpReply reply;
    reply.status = static_cast<int>(response.status);
    if (response.binary_body) {
        const auto *data = static_cast<const char *>(response.binary_body);
        reply.body.assign(data, response.binary_body_length);
    }
    const char **keys = u_map_enum_keys(response.map_header);
    for (const char **it = keys; it && *it; ++it) {
        std::string name = *it;
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
        reply.headers.emplace_back(std::move(name), u_map_get(response.map_header, *it));
    }
    return reply;
}

} // namespace

std::optional<HttpReply> sendHttp(const HttpCall &call)
{
    const RequestPtr request = convertCall(call);
    auto *raw = allocate<_u_response>();
    ulfius_init_response(raw);
    const ResponsePtr response(raw);
    if (ulfius_send_http_request(request.get(), raw) != U_OK)
        return fail(ResultCode::BackendFailed, "no reply from " + call.url);
    return convertResponse(*raw);
}

} // namespace sesame
