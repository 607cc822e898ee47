#include "Node/sesamenode.h"

#include <cstdio>

int main()
{
    const std::string_view version = sesame::nodeVersion();
    std::printf("sesameproxy %.*s\n", static_cast<int>(version.size()), version.data());
    return 0;
}
