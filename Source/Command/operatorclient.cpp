#include "operatorclient.h"

#include "Adapter/sesameadapter.h"
#include "Core/sesamecore.h"

#include <absl/flags/flag.h>

#include <cstdio>

ABSL_FLAG(std::vector<std::string>, nodes, {},
          "Operator addresses of the nodes, IP:PORT, separated by commas.");

namespace sesame {

namespace {
constexpr std::chrono::milliseconds replyTimeout {2000};
constexpr int httpOk = 200;
} // namespace

std::optional<std::string> sendOperatorRequest(std::string_view node, std::string method,
                                               std::string_view path)
{
    const std::optional<HttpReply> reply = sendHttp(
            {.method = std::move(method),
             .url = "http://" + std::string(node) + std::string(path),
             .headers = {},
             .body = {},
             .timeout = replyTimeout});
    if (!reply)
        return std::nullopt;
    if (reply->status != httpOk)
        return fail(ResultCode::BackendFailed,
                    "status " + std::to_string(reply->status) + " from " + std::string(node));
    return reply->body;
}

std::optional<NodeStatus> queryNodeStatus(std::string_view node)
{
    const std::optional<std::string> body = sendOperatorRequest(node, "GET", "/v1/status");
    if (!body)
        return std::nullopt;
    const JsonPtr json = parseJson(*body);
    if (!json)
        return fail(ResultCode::BackendFailed, "invalid JSON from " + std::string(node));
    return NodeStatus {
            .fleetVersion = static_cast<std::uint64_t>(jsonInteger(json.get(), "fleet_version")),
            .confirmation = jsonString(json.get(), "confirmation", "isolated"),
            .json = dumpJson(json.get())};
}

std::vector<std::string> readNodesFlag()
{
    std::vector<std::string> nodes = absl::GetFlag(FLAGS_nodes);
    for (const std::string &node : nodes) {
        if (!parseEndpoint(node)) {
            std::fprintf(stderr, "sesameproxy: --nodes: found \"%s\", allowed: IP:PORT,...\n",
                         node.c_str());
            return {};
        }
    }
    if (nodes.empty())
        std::fputs("sesameproxy: --nodes IP:PORT,... is required\n", stderr);
    return nodes;
}

} // namespace sesame
