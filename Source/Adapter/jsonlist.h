#pragma once

#include "Adapter/json.h"

#include <optional>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    A JSON object that contains a list, some of whose elements may be unreadable.
*/
struct JsonList
{
    JsonPtr members; //!< The object; its member with the list may be missing.
    std::vector<JsonPtr> elements; //!< The objects and arrays of the list that can be read.
};

/*!
    Parses the object \a text with the list \a key. An element that cannot be parsed, for example
    because a number in it is out of range or a string is no UTF-8, is left out; so is one that is
    neither an object nor an array. Returns std::nullopt if there is no such list.
*/
std::optional<JsonList> parseJsonList(std::string_view text, std::string_view key);

} // namespace sesame
