#include "Adapter/httpmessage.h"

namespace sesame {

std::string_view HttpReply::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (key == name)
            return value;
    }
    return {};
}

} // namespace sesame
