#pragma once

#include "adapters/net/BoundedSocket.h"

#include <Poco/Net/HTTPClientSession.h>

#include <cstddef>

namespace teaselfold {

/** A client session whose exchanges are bounded by its socket, and whose bytes can be received as they were sent. */
class BoundedSession final : public Poco::Net::HTTPClientSession {
public:
    /** @param boundedSocket the socket, connected or not, that the session shares with the caller. */
    explicit BoundedSession(const BoundedSocket& boundedSocket)
        : Poco::Net::HTTPClientSession(boundedSocket)
        , boundedSocket(boundedSocket)
    {
    }

    /** @return the number of bytes received, at most the capacity; zero at the end of what the peer sends. */
    std::size_t receiveBytes(char* buffer, std::size_t capacity)
    {
        const int count = this->read(buffer, static_cast<std::streamsize>(capacity));
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    /** @return true when bytes, or the end of the connection, are there although no request waits for a response. */
    bool hasUnexpectedInput();
    /** @return true when a read of this exchange has reached the end of what the peer sends. */
    bool hasEnded() const { return this->boundedSocket.hasEnded(); }

private:
    BoundedSocket boundedSocket;
};

}
