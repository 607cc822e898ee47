#include "support/freeport.h"

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <unistd.h>

namespace sesame {

std::uint16_t freePort()
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    cr_assert_eq(bind(fd, reinterpret_cast<sockaddr *>(&address), length), 0);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    close(fd);
    return ntohs(address.sin_port);
}

} // namespace sesame
