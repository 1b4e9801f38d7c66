#pragma once

#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string_view>

namespace teaselfold {

/**
 * Writes to a non-blocking socket what its send buffer takes. POCO throws for a full one, so this calls the system.
 * @return the number of bytes written, zero if the send buffer is full; unset if the connection is broken.
 */
std::optional<std::size_t> writeSome(Poco::Net::StreamSocket& socket, std::string_view bytes);

}
