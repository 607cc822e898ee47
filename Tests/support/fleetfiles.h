#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/*!
    Returns a small valid fleet file. \a note distinguishes files with equal limits. \a exceptions
    is appended unchanged.
*/
std::string makeFleetFile(std::uint32_t capacityLimit, std::string_view note = {},
                          std::string_view exceptions = {});

/*!
    Returns the content of the file \a path, which is relative to the project directory.
*/
std::string readRepositoryFile(std::string_view path);
