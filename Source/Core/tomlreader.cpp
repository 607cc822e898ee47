#include "Core/tomlreader.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace sesame {

namespace {

// Limits the length of a quoted value, so that an error message is one readable line.
constexpr std::size_t maxQuotedLength = 60;

std::string formatNumber(double value)
{
    std::ostringstream out;
    out.precision(12);
    out << value;
    return out.str();
}

std::optional<double> toNumber(const toml::node &node, NumberKind kind)
{
    if (kind == NumberKind::Boolean) {
        const auto *flag = node.as_boolean();
        return flag ? std::optional<double>(flag->get() ? 1.0 : 0.0) : std::nullopt;
    }
    if (const auto *integer = node.as_integer())
        return static_cast<double>(integer->get());
    const auto *real = node.as_floating_point();
    if (kind == NumberKind::Real && real && std::isfinite(real->get()))
        return real->get();
    return std::nullopt;
}

} // namespace

std::string describeRange(NumberKind kind, double minimum, double maximum)
{
    if (kind == NumberKind::Boolean)
        return "true or false";
    const std::string type = kind == NumberKind::Integer ? "integer" : "number";
    return type + " from " + formatNumber(minimum) + " to " + formatNumber(maximum);
}

std::string describeNode(const toml::node &node)
{
    if (node.is_table())
        return "a table";
    if (node.is_array())
        return "an array";
    std::ostringstream out;
    node.visit([&out](const auto &value) {
        if constexpr (toml::is_string<decltype(value)>)
            out << value.get(); // The library's own output would include quotes.
        else if constexpr (toml::is_value<decltype(value)>)
            out << value;
    });
    std::string text = out.str();
    std::replace(text.begin(), text.end(), '\n', ' ');
    if (text.size() > maxQuotedLength)
        text = text.substr(0, maxQuotedLength) + "...";
    return node.is_string() ? "\"" + text + "\"" : text;
}

std::optional<toml::table> parseToml(std::string_view text, ErrorSink sink)
{
    try {
        return toml::parse(text, sink.file);
    } catch (const toml::parse_error &error) {
        sink.errors.push_back({.file = std::string(sink.file),
                               .line = static_cast<unsigned>(error.source().begin.line),
                               .key = {},
                               .found = "a syntax error",
                               .allowed = std::string(error.description())});
    }
    return std::nullopt;
}

void sortErrors(std::vector<SettingsError> &errors, std::size_t firstIndex)
{
    std::stable_sort(errors.begin() + static_cast<std::ptrdiff_t>(firstIndex), errors.end(),
                     [](const SettingsError &a, const SettingsError &b) {
                         return a.line < b.line;
                     });
}

TomlReader::TomlReader(const toml::table &table, std::string path, ErrorSink sink)
    : m_table(table), m_path(std::move(path)), m_sink(sink)
{
}

const toml::node *TomlReader::findNode(std::string_view key, bool required,
                                       std::string_view allowed)
{
    m_requestedKeys.emplace(key);
    const toml::node *node = m_table.get(key);
    if (!node && required)
        report(key, "nothing", std::string(allowed));
    return node;
}

std::string TomlReader::readString(std::string_view key, bool required)
{
    constexpr std::string_view allowed = "a non-empty string";
    const toml::node *node = findNode(key, required, allowed);
    if (!node)
        return {};
    const auto *value = node->as_string();
    if (value && !value->get().empty())
        return value->get();
    report(key, describeNode(*node), std::string(allowed));
    return {};
}

std::string TomlReader::readSecret(std::string_view key)
{
    const toml::node *node = findNode(key, false, {});
    if (!node)
        return {};
    const auto *value = node->as_string();
    if (value && !value->get().empty())
        return value->get();
    report(key, value ? "an empty string" : "another type", "a non-empty string");
    return {};
}

std::vector<std::string> TomlReader::readStrings(std::string_view key, bool required)
{
    constexpr std::string_view allowed = "an array of non-empty strings";
    const toml::node *node = findNode(key, required, allowed);
    std::vector<std::string> result;
    if (!node)
        return result;
    const toml::array *array = node->as_array();
    if (!array || (array->empty() && required)) {
        report(key, array ? "an empty array" : describeNode(*node), std::string(allowed));
        return result;
    }
    for (const toml::node &entry : *array) {
        const auto *value = entry.as_string();
        if (value && !value->get().empty())
            result.push_back(value->get());
        else
            report(key, describeNode(entry), std::string(allowed));
    }
    return result;
}

std::optional<double> TomlReader::readNumber(std::string_view key, NumberKind kind, double minimum,
                                             double maximum, bool required)
{
    const std::string allowed = describeRange(kind, minimum, maximum);
    const toml::node *node = findNode(key, required, allowed);
    if (!node)
        return std::nullopt;
    const std::optional<double> value = toNumber(*node, kind);
    if (value && *value >= minimum && *value <= maximum)
        return value;
    report(key, describeNode(*node), allowed);
    return std::nullopt;
}

const toml::table *TomlReader::readTable(std::string_view key, bool required)
{
    const toml::node *node = findNode(key, required, "a table");
    if (!node)
        return nullptr;
    if (!node->is_table())
        report(key, describeNode(*node), "a table");
    return node->as_table();
}

std::vector<const toml::table *> TomlReader::readTables(std::string_view key)
{
    std::vector<const toml::table *> result;
    const toml::node *node = findNode(key, false, {});
    if (!node)
        return result;
    const toml::array *array = node->as_array();
    if (!array) {
        report(key, describeNode(*node), "an array of tables, [[" + std::string(key) + "]]");
        return result;
    }
    for (const toml::node &entry : *array) {
        if (entry.is_table())
            result.push_back(entry.as_table());
        else
            report(key, describeNode(entry), "a table");
    }
    return result;
}

std::string TomlReader::readScalar(std::string_view key)
{
    constexpr std::string_view allowed = "a string, number or boolean";
    const toml::node *node = findNode(key, true, allowed);
    if (!node)
        return {};
    if (const auto *value = node->as_string())
        return value->get();
    if (node->is_number() || node->is_boolean())
        return describeNode(*node);
    report(key, describeNode(*node), std::string(allowed));
    return {};
}

void TomlReader::report(std::string_view key, std::string found, std::string allowed,
                        ResultCode code)
{
    const toml::node *node = m_table.get(key);
    const toml::source_region &region = node ? node->source() : m_table.source();
    m_sink.errors.push_back({.file = std::string(m_sink.file),
                             .line = static_cast<unsigned>(region.begin.line),
                             .key = m_path + std::string(key),
                             .found = std::move(found),
                             .allowed = std::move(allowed),
                             .code = code});
}

void TomlReader::reportUnknownKeys()
{
    std::string allowed;
    for (const std::string &key : m_requestedKeys)
        allowed += (allowed.empty() ? "" : ", ") + key;
    for (const auto &[key, node] : m_table) {
        if (!m_requestedKeys.contains(key.str()))
            report(key.str(), "an unknown key", "the keys " + allowed);
    }
}

} // namespace sesame
