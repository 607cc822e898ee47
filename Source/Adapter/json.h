#pragma once

#include <jansson.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sesame {

struct JsonDeleter
{
    void operator()(json_t *value) const { json_decref(value); }
};

using JsonPtr = std::unique_ptr<json_t, JsonDeleter>;

/*!
    Parses \a text. Returns a null pointer if it is not valid JSON or if an object has the same key
    twice.
*/
JsonPtr parseJson(std::string_view text);

/*!
    Returns \a value as compact JSON text.
*/
std::string dumpJson(const json_t *value);

/*!
    Returns the member \a key of \a object, or \a fallback if it is missing or not a string.
*/
std::string jsonString(const json_t *object, const char *key, std::string_view fallback = {});

/*!
    Returns the member \a key of \a object, or \a fallback if it is missing or not an integer.
*/
std::int64_t jsonInteger(const json_t *object, const char *key, std::int64_t fallback = 0);

/*!
    Returns the member \a key of \a object, or \a fallback if it is missing or not a number.
*/
double jsonNumber(const json_t *object, const char *key, double fallback = 0.0);

/*!
    Returns the member \a key of \a object, or \a fallback if it is missing or not a boolean.
*/
bool jsonBool(const json_t *object, const char *key, bool fallback = false);

} // namespace sesame
