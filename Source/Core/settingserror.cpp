#include "Core/settingserror.h"

namespace sesame {

std::string SettingsError::format() const
{
    std::string text = file + ":" + std::to_string(line) + ": ";
    if (!key.empty())
        text += key + ": ";
    text += "found " + found + ", allowed: " + allowed;
    text += " (" + std::to_string(static_cast<int>(code)) + " " + std::string(toString(code)) + ")";
    return text;
}

} // namespace sesame
