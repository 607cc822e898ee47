#pragma once

#include <sys/types.h>

#include <cstdint>

namespace sesame::test {

/*!
    Returns the peak of the memory that the process \a pid has used so far, in KiB.
*/
long peakMemoryKib(pid_t pid);

/*!
    Returns the KiB that the kernel has received on connections to \a port of this machine and that
    the server has not read.
*/
long unreadKib(std::uint16_t port);

/*!
    Returns the number of open descriptors of the process \a pid.
*/
int openDescriptors(pid_t pid);

} // namespace sesame::test
