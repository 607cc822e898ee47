#include "Adapter/backendclient.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace sesame {

namespace {

constexpr long connectTimeoutMillis = 1000;
constexpr long firstErrorStatus = 400;

struct CurlDeleter
{
    void operator()(CURL *curl) const { curl_easy_cleanup(curl); }
};

struct ListDeleter
{
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};

using CurlPtr = std::unique_ptr<CURL, CurlDeleter>;
using ListPtr = std::unique_ptr<curl_slist, ListDeleter>;

struct Transfer
{
    CURL *curl = nullptr;
    HttpReply reply;
    const BodyReceiver *receiver = nullptr;
    bool aborted = false;
};

size_t receiveBody(char *data, size_t size, size_t count, void *user)
{
    auto *transfer = static_cast<Transfer *>(user);
    const std::string_view part(data, size * count);
    long status = 0;
    curl_easy_getinfo(transfer->curl, CURLINFO_RESPONSE_CODE, &status);
    if (!transfer->receiver || status >= firstErrorStatus) {
        transfer->reply.body.append(part);
        return part.size();
    }
    transfer->aborted = !(*transfer->receiver)(part);
    return transfer->aborted ? 0 : part.size();
}

// Lets a receiver that lost interest end a call whose backend server sends nothing.
int reportProgress(void *user, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    auto *transfer = static_cast<Transfer *>(user);
    if (transfer->receiver && !(*transfer->receiver)({}))
        transfer->aborted = true;
    return transfer->aborted ? 1 : 0;
}

size_t receiveHeader(char *data, size_t size, size_t count, void *user)
{
    auto *transfer = static_cast<Transfer *>(user);
    const std::string_view line(data, size * count);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return line.size();
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    value = value.substr(0, value.find_first_of("\r\n"));
    transfer->reply.headers.emplace_back(std::move(name), value);
    return line.size();
}

ListPtr convertHeaders(const HttpCall &call)
{
    curl_slist *list = nullptr;
    std::string line;
    for (const auto &[name, value] : call.headers) {
        line.assign(name).append(": ").append(value);
        list = curl_slist_append(list, line.c_str());
    }
    // Without this libcurl waits up to a second for "100 Continue" before it sends a large body.
    list = curl_slist_append(list, "Expect:");
    return ListPtr(list);
}

void prepare(CURL *curl, const HttpCall &call, const curl_slist *headers, Transfer *transfer)
{
    curl_easy_setopt(curl, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMillis);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    if (!call.body.empty() || call.method == "POST") {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call.body.data());
    }
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, receiveBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, receiveHeader);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, reportProgress);
    curl_easy_setopt(curl, CURLOPT_XFERINFODATA, transfer);
    curl_easy_setopt(curl, CURLOPT_NOPROGRESS, transfer->receiver ? 0L : 1L);
}

CallStatus classify(CURL *curl, CURLcode code, bool aborted)
{
    if (code == CURLE_OK)
        return CallStatus::Replied;
    if (aborted)
        return CallStatus::Aborted;
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT)
        return CallStatus::NotSent;
    curl_off_t connectMicros = 0;
    curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connectMicros);
    return connectMicros == 0 ? CallStatus::NotSent : CallStatus::Lost;
}

BackendReply perform(const HttpCall &call, const BodyReceiver *receiver)
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    const CurlPtr curl(initialized == CURLE_OK ? curl_easy_init() : nullptr);
    if (!curl)
        return {.status = CallStatus::NotSent, .reply = {}, .reason = "libcurl unavailable"};
    Transfer transfer {.curl = curl.get(), .reply = {}, .receiver = receiver};
    const ListPtr headers = convertHeaders(call);
    prepare(curl.get(), call, headers.get(), &transfer);
    const CURLcode code = curl_easy_perform(curl.get());
    long status = 0;
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
    transfer.reply.status = static_cast<int>(status);
    return {.status = classify(curl.get(), code, transfer.aborted),
            .reply = std::move(transfer.reply),
            .reason = curl_easy_strerror(code)};
}

} // namespace

BackendReply callBackend(const HttpCall &call)
{
    return perform(call, nullptr);
}

BackendReply streamFromBackend(const HttpCall &call, const BodyReceiver &receiver)
{
    return perform(call, &receiver);
}

} // namespace sesame
