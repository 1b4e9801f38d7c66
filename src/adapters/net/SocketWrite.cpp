#include "adapters/net/SocketWrite.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace teaselfold {

std::optional<std::size_t> writeSome(Poco::Net::StreamSocket& socket, std::string_view bytes)
{
    constexpr std::size_t maxWriteBytes = std::size_t { 1 } << 20;
    const ssize_t count
        = ::send(socket.impl()->sockfd(), bytes.data(), std::min(bytes.size(), maxWriteBytes), MSG_NOSIGNAL);
    if (count >= 0)
        return static_cast<std::size_t>(count);
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
        return 0;
    return std::nullopt;
}

}
