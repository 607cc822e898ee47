#pragma once

#include "Core/settingserror.h"

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sesame {

enum class NumberKind : std::uint8_t { Integer, Real, Boolean };

/*!
    A number or boolean of settings type \c T, its key, its range and how it is stored.
    The same description serves the file and the exceptions.
*/
template <typename T>
struct NumberField
{
    std::string_view key;
    NumberKind kind = NumberKind::Integer;
    double minimum = 0.0;
    double maximum = 1.0;
    void (*set)(T &, double) = nullptr;
    bool required = false;
};

/*!
    Returns the range of a field as text, for example "integer from 1 to 4096".
*/
std::string describeRange(NumberKind kind, double minimum, double maximum);

/*!
    Where a reader reports the faults it finds.
*/
struct ErrorSink
{
    std::string_view file;
    std::vector<SettingsError> &errors;
};

/*!
    Reads one TOML table, reports every fault and, in finish(), every key nobody asked for.
*/
class TomlReader
{
public:
    /*!
        \a path is the prefix of key names in error texts, for example "defaults.".
    */
    TomlReader(const toml::table &table, std::string path, ErrorSink sink);

    /*!
        Returns a non-empty string. Reports an error if \a key is missing, unless it is optional.
    */
    std::string readString(std::string_view key, bool required = true);

    /*!
        As text(), but keeps the value out of error texts.
    */
    std::string readSecret(std::string_view key);

    /*!
        Returns an array of strings; an empty array is an error if it is required.
    */
    std::vector<std::string> readStrings(std::string_view key, bool required = true);

    std::optional<double> readNumber(std::string_view key, NumberKind kind, double minimum,
                                     double maximum, bool required = false);

    template <typename T>
    void readNumbers(std::span<const NumberField<T>> fields, T &target)
    {
        for (const NumberField<T> &field : fields) {
            const auto value = readNumber(field.key, field.kind, field.minimum, field.maximum,
                                          field.required);
            if (value)
                field.set(target, *value);
        }
    }

    /*!
        Returns the value that belongs to the string found, or \a fallback.
    */
    template <typename T>
    T readChoice(std::string_view key, std::span<const std::pair<std::string_view, T>> names,
                 T fallback, bool required = true)
    {
        const std::string value = readString(key, required);
        std::string allowed;
        for (const auto &[name, result] : names) {
            if (name == value)
                return result;
            allowed += (allowed.empty() ? "\"" : ", \"") + std::string(name) + "\"";
        }
        if (!value.empty())
            report(key, "\"" + value + "\"", allowed);
        return fallback;
    }

    /*!
        Returns the table \a key, or nullptr after reporting its absence if it is required.
    */
    const toml::table *readTable(std::string_view key, bool required = true);

    /*!
        Returns the tables of the array \a key, for example every [[account]].
    */
    std::vector<const toml::table *> readTables(std::string_view key);

    /*!
        Returns a scalar as text, so that one key can hold values of several types.
    */
    std::string readScalar(std::string_view key);

    /*!
        Reports a fault of \a key at its line, or at the table's line if the key is missing.
    */
    void report(std::string_view key, std::string found, std::string allowed,
                ResultCode code = ResultCode::InvalidSettings);

    /*!
        Reports every key that was not asked for.
    */
    void reportUnknownKeys();

private:
    const toml::node *findNode(std::string_view key, bool required, std::string_view allowed);

    const toml::table &m_table;
    std::string m_path;
    ErrorSink m_sink;
    std::set<std::string, std::less<>> m_requestedKeys;
};

/*!
    Parses \a text. Returns std::nullopt after reporting the syntax error, if there is one.
    The library stops at the first syntax error.
*/
std::optional<toml::table> parseToml(std::string_view text, ErrorSink sink);

/*!
    Orders the errors from \a first on by their line.
*/
void sortErrors(std::vector<SettingsError> &errors, std::size_t firstIndex);

/*!
    Returns \a node as it would be written in a file, shortened to a few words.
*/
std::string describeNode(const toml::node &node);

} // namespace sesame
