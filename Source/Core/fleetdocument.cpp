#include "Core/fleetdocument.h"

#include "Core/lastreason.h"

#include <xxhash.h>

#include <charconv>
#include <cstdio>
#include <map>

namespace sesame {

namespace {

constexpr std::string_view formatVersionLine = "sesameproxy-fleet 1\n";
constexpr std::string_view headerEnd = "\n\n";

using Header = std::map<std::string_view, std::string_view>;

Header splitHeader(std::string_view header)
{
    Header fields;
    while (!header.empty()) {
        const std::string_view line = header.substr(0, header.find('\n'));
        header.remove_prefix(std::min(header.size(), line.size() + 1));
        const std::size_t space = line.find(' ');
        if (space != std::string_view::npos)
            fields[line.substr(0, space)] = line.substr(space + 1);
    }
    return fields;
}

template <typename T>
bool readNumber(const Header &fields, std::string_view name, T &value)
{
    const auto it = fields.find(name);
    if (it == fields.end())
        return false;
    const char *last = it->second.data() + it->second.size();
    const auto [end, ec] = std::from_chars(it->second.data(), last, value);
    return ec == std::errc() && end == last;
}

std::vector<std::string> splitWords(std::string_view words)
{
    std::vector<std::string> result;
    while (!words.empty()) {
        const std::string_view word = words.substr(0, words.find(' '));
        words.remove_prefix(std::min(words.size(), word.size() + 1));
        if (!word.empty())
            result.emplace_back(word);
    }
    return result;
}

} // namespace

std::string contentHash(std::string_view text)
{
    char buf[17];
    const auto hash = static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size()));
    std::snprintf(buf, sizeof(buf), "%016llx", hash);
    return buf;
}

std::string encodeFleetDocument(const FleetDocument &document)
{
    std::string stored(formatVersionLine);
    stored += "version " + std::to_string(document.version) + "\n";
    stored += "capacity_limit " + std::to_string(document.capacityLimit) + "\n";
    stored += "apply_id " + document.applyId + "\n";
    stored += "earlier_apply_ids";
    for (const std::string &id : document.earlierApplyIds)
        stored += " " + id;
    stored += "\ncontent_hash " + contentHash(document.fleetFile);
    stored += headerEnd;
    stored += document.fleetFile;
    return stored;
}

std::optional<FleetDocument> decodeFleetDocument(std::string_view stored)
{
    const std::size_t end = stored.find(headerEnd);
    if (!stored.starts_with(formatVersionLine) || end == std::string_view::npos)
        return fail(ResultCode::InvalidSettings, "fleet document: no valid header");
    const Header fields = splitHeader(
            stored.substr(formatVersionLine.size(), end - formatVersionLine.size()));
    FleetDocument document;
    document.fleetFile = stored.substr(end + headerEnd.size());
    if (!readNumber(fields, "version", document.version) || document.version == 0
        || !readNumber(fields, "capacity_limit", document.capacityLimit))
        return fail(ResultCode::InvalidSettings, "fleet document: no valid version or limit");
    const auto hash = fields.find("content_hash");
    if (hash == fields.end() || hash->second != contentHash(document.fleetFile))
        return fail(ResultCode::InvalidSettings, "fleet document: content_hash does not match");
    if (const auto it = fields.find("apply_id"); it != fields.end())
        document.applyId = it->second;
    if (const auto it = fields.find("earlier_apply_ids"); it != fields.end())
        document.earlierApplyIds = splitWords(it->second);
    return document;
}

} // namespace sesame
