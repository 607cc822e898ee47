#include "Adapter/jsonlist.h"

#include "Adapter/jsonsplitter.h"

#include <string>

namespace sesame {

namespace {

std::optional<JsonList> parseByElement(std::string_view text, std::string_view key)
{
    const auto members = JsonSplitter::splitObject(text);
    const auto items = JsonSplitter::splitArray(JsonSplitter::findMember(text, key));
    if (!members || !items)
        return std::nullopt;
    JsonList list {.members = JsonPtr(json_object())};
    for (const JsonSplitter::Member &member : *members) {
        if (member.key == key)
            continue;
        const JsonPtr parsed = parseJson("{\"value\":" + std::string(member.value) + "}");
        json_object_set(list.members.get(), std::string(member.key).c_str(),
                        json_object_get(parsed.get(), "value"));
    }
    for (const std::string_view item : *items) {
        if (JsonPtr element = parseJson(item))
            list.elements.push_back(std::move(element));
    }
    return list;
}

} // namespace

std::optional<JsonList> parseJsonList(std::string_view text, std::string_view key)
{
    JsonList list {.members = parseJson(text)};
    if (!list.members)
        return parseByElement(text, key);
    const json_t *items = json_object_get(list.members.get(), std::string(key).c_str());
    if (!json_is_array(items))
        return std::nullopt;
    std::size_t i = 0;
    json_t *item = nullptr;
    json_array_foreach(items, i, item)
    {
        if (json_is_object(item) || json_is_array(item))
            list.elements.emplace_back(json_incref(item));
    }
    return list;
}

} // namespace sesame
