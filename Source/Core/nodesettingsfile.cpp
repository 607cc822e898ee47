#include "Core/nodesettingsfile.h"

#include "Core/tomlreader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iterator>

namespace sesame {

namespace {

//! With less, a node could not hold its tables and a single request of the largest size.
constexpr double minMemoryLimitMb = 120;
constexpr double maxMemoryLimitMb = 1'048'576;

constexpr std::size_t minKeyBytes = 16; // Shorter keys can be guessed.
constexpr std::array<std::pair<std::string_view, std::string_view>, 4> logLevels {{
        {"debug", "debug"},
        {"info", "info"},
        {"warning", "warning"},
        {"error", "error"},
}};

Endpoint readEndpoint(TomlReader &reader, std::string_view key)
{
    const std::string text = reader.readString(key);
    if (text.empty())
        return {};
    const std::optional<Endpoint> endpoint = parseEndpoint(text);
    if (!endpoint)
        reader.report(key, "\"" + text + "\"", "\"IP:PORT\" with an IPv4 address and a port");
    return endpoint.value_or(Endpoint {});
}

std::string readUrl(TomlReader &reader, std::string_view key)
{
    std::string url = reader.readString(key);
    if (!url.empty() && !url.starts_with("http://"))
        reader.report(key, "\"" + url + "\"", "a URL that starts with \"http://\"");
    while (url.ends_with('/'))
        url.pop_back();
    return url;
}

std::string readKeyFile(TomlReader &reader, std::string_view key, const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::string value((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    while (!value.empty() && (value.back() == '\n' || value.back() == '\r'))
        value.pop_back();
    if (value.empty())
        reader.report(key, "\"" + path + "\", which is empty or cannot be read",
                      "the path of a readable file with the key");
    return value;
}

std::string readKey(TomlReader &reader, const std::string &key)
{
    const std::string fileKey = key + "_file";
    std::string value = reader.readSecret(key);
    const std::string path = reader.readString(fileKey, false);
    if (value.empty() == path.empty()) {
        reader.report(key, value.empty() ? "nothing" : "both " + key + " and " + fileKey,
                      "either " + key + " or " + fileKey);
        return value;
    }
    if (!path.empty())
        value = readKeyFile(reader, fileKey, path);
    if (!value.empty() && value.size() < minKeyBytes)
        reader.report(path.empty() ? key : fileKey, "a shorter key",
                      "at least " + std::to_string(minKeyBytes) + " bytes");
    return value;
}

std::vector<Endpoint> readSeeds(TomlReader &reader)
{
    std::vector<Endpoint> seeds;
    for (const std::string &text : reader.readStrings("seeds", false)) {
        const std::optional<Endpoint> endpoint = parseEndpoint(text);
        if (endpoint)
            seeds.push_back(*endpoint);
        else
            reader.report("seeds", "\"" + text + "\"", "\"IP:PORT\" with an IPv4 address");
    }
    return seeds;
}

void checkDistinctAddresses(TomlReader &reader, const NodeSettings &settings)
{
    const std::array<std::pair<std::string_view, const Endpoint *>, 3> addresses {{
            {"caller_address", &settings.callerAddress},
            {"peer_address", &settings.peerAddress},
            {"operator_address", &settings.operatorAddress},
    }};
    for (std::size_t i = 1; i < addresses.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            const Endpoint &a = *addresses[i].second;
            const Endpoint &b = *addresses[j].second;
            if (a.port != 0 && a.port == b.port && a.host == b.host)
                reader.report(addresses[i].first,
                              "the address of " + std::string(addresses[j].first),
                              "a different port for each address");
        }
    }
}

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Endpoint endpoint {.host = std::string(text.substr(0, colon))};
    const std::string_view port = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    in_addr address {};
    const bool isValid = ec == std::errc() && end == port.data() + port.size() && endpoint.port != 0
            && inet_pton(AF_INET, endpoint.host.c_str(), &address) == 1;
    return isValid ? std::optional<Endpoint>(std::move(endpoint)) : std::nullopt;
}

std::optional<NodeSettings> parseNodeSettings(std::string_view text, std::string_view fileName,
                                              std::vector<SettingsError> &errors)
{
    const std::size_t before = errors.size();
    const ErrorSink sink {.file = fileName, .errors = errors};
    const std::optional<toml::table> root = parseToml(text, sink);
    if (!root)
        return std::nullopt;
    TomlReader reader(*root, {}, sink);
    NodeSettings settings;
    settings.node = reader.readString("node");
    settings.instance = reader.readString("instance");
    settings.zone = reader.readString("zone");
    settings.callerAddress = readEndpoint(reader, "caller_address");
    settings.peerAddress = readEndpoint(reader, "peer_address");
    settings.operatorAddress = readEndpoint(reader, "operator_address");
    checkDistinctAddresses(reader, settings);
    settings.objectServiceUrl = readUrl(reader, "object_service_url");
    settings.cloudUrl = readUrl(reader, "cloud_url");
    settings.peerKey = readKey(reader, "peer_key");
    settings.tokenKey = readKey(reader, "token_key");
    settings.seeds = readSeeds(reader);
    settings.logLevel = reader.readChoice<std::string_view>("log_level", logLevels, "info", false);
    settings.memoryLimitMb = static_cast<int>(reader.readNumber("memory_limit_mb",
                                                                NumberKind::Integer,
                                                                minMemoryLimitMb, maxMemoryLimitMb)
                                                      .value_or(settings.memoryLimitMb));
    reader.reportUnknownKeys();
    sortErrors(errors, before);
    if (errors.size() > before)
        return std::nullopt;
    return settings;
}

} // namespace sesame
