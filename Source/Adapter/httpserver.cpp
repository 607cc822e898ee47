#include "Adapter/httpserver.h"

#include "Core/lastreason.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <strings.h>

#include <ulfius.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstring>
#include <utility>

namespace sesame {

namespace {

constexpr std::size_t connectionMemoryBytes = 32'768; // Bounds the headers of one request.
constexpr std::size_t threadStackBytes = 262'144;
constexpr std::size_t streamBlockBytes = 8'192;

/*!
    A streamed response. MHD asks for at most a block at a time, so the rest of a longer
    part waits in m_rest.
*/
class StreamedBody
{
public:
    StreamedBody(HttpBodyReader reader, std::function<void()> closed)
        : m_reader(std::move(reader)), m_closed(std::move(closed))
    {
    }

    ~StreamedBody()
    {
        if (m_closed)
            m_closed();
    }

    StreamedBody(const StreamedBody &) = delete;
    StreamedBody &operator=(const StreamedBody &) = delete;

    ssize_t read(char *buf, std::size_t max)
    {
        while (m_rest.empty()) {
            std::optional<std::string> part = m_reader();
            if (!part)
                return U_STREAM_END;
            m_rest = std::move(*part);
        }
        const std::size_t n = std::min(max, m_rest.size());
        std::memcpy(buf, m_rest.data(), n);
        m_rest.erase(0, n);
        return static_cast<ssize_t>(n);
    }

private:
    HttpBodyReader m_reader;
    std::function<void()> m_closed;
    std::string m_rest;
};

ssize_t readStream(void *data, uint64_t /*offset*/, char *buf, size_t max)
{
    return static_cast<StreamedBody *>(data)->read(buf, max);
}

void freeStream(void *data)
{
    delete static_cast<StreamedBody *>(data);
}

ssize_t readBroken(void * /*data*/, uint64_t /*offset*/, char * /*buf*/, size_t /*max*/)
{
    return U_STREAM_ERROR;
}

std::optional<std::string> lookUp(const _u_map *map, const char *name, bool ignoreCase)
{
    const char *value = ignoreCase ? u_map_get_case(map, name) : u_map_get(map, name);
    if (!value)
        return std::nullopt;
    return std::string(value);
}

HttpRequest convertRequest(const _u_request *in)
{
    HttpRequest request;
    request.method = in->http_verb;
    request.path = in->url_path ? in->url_path : "/";
    request.path = request.path.substr(0, request.path.find('?'));
    if (in->binary_body)
        request.body.assign(static_cast<const char *>(in->binary_body), in->binary_body_length);
    request.header = [in](const char *name) {
        return lookUp(in->map_header, name, true);
    };
    request.query = [in](const char *name) {
        return lookUp(in->map_url, name, false);
    };
    return request;
}

void convertResponse(HttpResponse response, _u_response *out)
{
    for (const auto &[name, value] : response.headers)
        u_map_put(out->map_header, name.c_str(), value.c_str());
    const auto status = static_cast<unsigned>(response.status);
    if (response.broken) {
        ulfius_set_stream_response(out, status, readBroken, nullptr, U_STREAM_SIZE_UNKNOWN,
                                   streamBlockBytes, nullptr);
        return;
    }
    if (!response.reader && response.body.empty()) {
        // ulfius_set_binary_body_response refuses an empty body and leaves the status at 200.
        ulfius_set_empty_body_response(out, status);
        return;
    }
    if (!response.reader) {
        ulfius_set_binary_body_response(out, status, response.body.data(), response.body.size());
        return;
    }
    auto *body = new StreamedBody(std::move(response.reader), std::move(response.closed));
    ulfius_set_stream_response(out, status, readStream, freeStream, U_STREAM_SIZE_UNKNOWN,
                               streamBlockBytes, body);
}

int dispatch(const _u_request *in, _u_response *out, void *data)
{
    const auto &handler = *static_cast<HttpServer::Handler *>(data);
    convertResponse(handler(convertRequest(in)), out);
    return U_CALLBACK_COMPLETE;
}

using ActiveCount = std::atomic<std::size_t>;

void *countStart(void *count, const char *uri)
{
    ++*static_cast<ActiveCount *>(count);
    return ulfius_uri_logger(nullptr, uri);
}

void countEnd(void *count, MHD_Connection *connection, void **context,
              MHD_RequestTerminationCode code)
{
    mhd_request_completed(nullptr, connection, context, code);
    --*static_cast<ActiveCount *>(count);
}

void initializeLibrary()
{
    static const int result = ulfius_global_init();
    static_cast<void>(result);
}

} // namespace

struct HttpServer::State
{
    Handler handler;
    sockaddr_in address {};
    _u_instance instance {};
    bool running = false;
    ActiveCount activeRequests {0};
};

std::optional<HttpServer> HttpServer::start(const HttpServerOptions &options, Handler handler)
{
    initializeLibrary();
    auto state = std::make_unique<State>();
    state->handler = std::move(handler);
    state->address.sin_family = AF_INET;
    state->address.sin_port = htons(options.address.port);
    if (inet_pton(AF_INET, options.address.host.c_str(), &state->address.sin_addr) != 1)
        return fail(ResultCode::InvalidSettings, "not an IP number: " + options.address.host);
    _u_instance *instance = &state->instance;
    if (ulfius_init_instance(instance, options.address.port, &state->address, nullptr) != U_OK)
        return fail(ResultCode::InvalidSettings, "cannot initialise the HTTP server");
    // One byte more than the limit lets the handler tell a cut body from a complete one.
    instance->max_post_body_size = options.bodyLimitBytes + 1;
    instance->check_utf8 = 0;
    ulfius_set_default_endpoint(instance, &dispatch, &state->handler);
    const auto completed = reinterpret_cast<intptr_t>(&countEnd);
    const auto logger = reinterpret_cast<intptr_t>(&countStart);
    std::array<MHD_OptionItem, 8> items {{
            {MHD_OPTION_NOTIFY_COMPLETED, completed, &state->activeRequests},
            {MHD_OPTION_URI_LOG_CALLBACK, logger, &state->activeRequests},
            {MHD_OPTION_SOCK_ADDR, 0, &state->address},
            {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(options.idleTimeoutSeconds),
             nullptr},
            {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(options.connectionLimit), nullptr},
            {MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemoryBytes, nullptr},
            {MHD_OPTION_THREAD_STACK_SIZE, threadStackBytes, nullptr},
            {MHD_OPTION_END, 0, nullptr},
    }};
    // poll() instead of select(), because a node has more than 1,024 open descriptors.
    constexpr unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
            | MHD_USE_POLL;
    if (ulfius_start_framework_with_mhd_options(instance, flags, items.data()) != U_OK) {
        ulfius_clean_instance(instance);
        return fail(ResultCode::InvalidSettings,
                    "cannot listen on " + options.address.host + ":"
                            + std::to_string(options.address.port));
    }
    state->running = true;
    return HttpServer(std::move(state));
}

HttpServer::HttpServer(std::unique_ptr<State> state) : m_state(std::move(state)) { }

HttpServer::HttpServer(HttpServer &&other) noexcept = default;

HttpServer &HttpServer::operator=(HttpServer &&other) noexcept
{
    if (this != &other) {
        stop();
        m_state = std::move(other.m_state);
    }
    return *this;
}

HttpServer::~HttpServer()
{
    stop();
}

std::size_t HttpServer::activeRequests() const
{
    return m_state ? m_state->activeRequests.load() : 0;
}

void HttpServer::stop()
{
    if (!m_state || !m_state->running)
        return;
    m_state->running = false;
    ulfius_stop_framework(&m_state->instance);
    ulfius_clean_instance(&m_state->instance);
}

} // namespace sesame
