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
    Describes a numeric or boolean member of the settings type \c T: its key, its range and the
    function that sets it. Used to read the file and to apply the exceptions.
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
    Returns a description of a range of values, for example "integer from 1 to 4096".
*/
std::string describeRange(NumberKind kind, double minimum, double maximum);

/*!
    The list to which a reader appends the errors it finds, and the file name for them.
*/
struct ErrorSink
{
    std::string_view file;
    std::vector<SettingsError> &errors;
};

/*!
    Reads one TOML table and reports all errors, including keys that were not read.
*/
class TomlReader
{
public:
    /*!
        \a path is the prefix of the keys in error messages, for example "defaults.".
    */
    TomlReader(const toml::table &table, std::string path, ErrorSink sink);

    /*!
        Returns the value of \a key, which must be a non-empty string. Reports an error and returns
        an empty string if it has another type, or if it is missing and \a required.
    */
    std::string readString(std::string_view key, bool required = true);

    /*!
        Returns the value of an optional \a key like readString(), but never includes the value in
        error messages.
    */
    std::string readSecret(std::string_view key);

    /*!
        Returns the value of \a key, which must be an array of non-empty strings. Reports an error
        if it is \a required and missing or empty.
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
        Returns the value that \a names assigns to the string value of \a key. Reports an error for
        a string that is not among \a names. Returns \a fallback if there is no valid value.
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
        Returns the table \a key, or nullptr if there is none. Reports an error if the value has
        another type, or if it is missing and \a required.
    */
    const toml::table *readTable(std::string_view key, bool required = true);

    /*!
        Returns the tables in the array \a key, for example all [[account]] tables.
    */
    std::vector<const toml::table *> readTables(std::string_view key);

    /*!
        Returns the value of \a key as text. It may be a string, number or boolean.
    */
    std::string readScalar(std::string_view key);

    /*!
        Reports an error of \a key with its line, or the line of the table if the key is missing.
    */
    void report(std::string_view key, std::string found, std::string allowed,
                ResultCode code = ResultCode::InvalidSettings);

    /*!
        Reports an error for each key of the table that no earlier call has read.
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
    Parses \a text. If it has a syntax error, reports the error and returns std::nullopt. The
    library stops at the first syntax error.
*/
std::optional<toml::table> parseToml(std::string_view text, ErrorSink sink);

/*!
    Sorts the errors from \a firstIndex on by line, keeping the order of errors of one line.
*/
void sortErrors(std::vector<SettingsError> &errors, std::size_t firstIndex);

/*!
    Returns \a node as it would be written in a file. Long values are truncated, and tables and
    arrays are only named.
*/
std::string describeNode(const toml::node &node);

} // namespace sesame
