#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/*!
    Returns a small valid fleet file. \a note makes files with equal limits differ, and
    \a exceptions is appended as it is.
*/
std::string makeFleetFile(std::uint32_t capacityLimit, std::string_view note = {},
                          std::string_view exceptions = {});

/*!
    Returns the content of \a path, relative to the project directory.
*/
std::string readRepositoryFile(std::string_view path);
