#include "Adapter/json.h"

#include <cstdlib>

namespace sesame {

JsonPtr parseJson(std::string_view text)
{
    return JsonPtr(json_loadb(text.data(), text.size(), JSON_REJECT_DUPLICATES, nullptr));
}

std::string dumpJson(const json_t *value)
{
    const std::unique_ptr<char, decltype(&std::free)> text(
            json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY), &std::free);
    return text ? std::string(text.get()) : std::string();
}

std::string jsonString(const json_t *object, const char *key, std::string_view fallback)
{
    const json_t *member = json_object_get(object, key);
    if (!json_is_string(member))
        return std::string(fallback);
    return {json_string_value(member), json_string_length(member)};
}

std::int64_t jsonInteger(const json_t *object, const char *key, std::int64_t fallback)
{
    const json_t *member = json_object_get(object, key);
    return json_is_integer(member) ? json_integer_value(member) : fallback;
}

double jsonNumber(const json_t *object, const char *key, double fallback)
{
    const json_t *member = json_object_get(object, key);
    return json_is_number(member) ? json_number_value(member) : fallback;
}

bool jsonBool(const json_t *object, const char *key, bool fallback)
{
    const json_t *member = json_object_get(object, key);
    return json_is_boolean(member) ? json_is_true(member) : fallback;
}

} // namespace sesame
