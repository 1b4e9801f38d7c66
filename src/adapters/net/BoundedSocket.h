#pragma once

#include "ports/Time.h"

#include <Poco/Net/StreamSocket.h>

#include <cstddef>

namespace teaselfold {

/** What one exchange on a connection may take until its response is complete. */
struct ExchangeBudget {
    Instant deadline { Instant::max() };
    std::size_t maxBytes { 0 };
};

/**
 * A stream socket that bounds the bytes and the total time of an exchange, in whatever part of a message they arrive.
 * Timeouts of single reads do not bound a peer that sends a byte now and then, and limits on a body do not bound a
 * head.
 */
class BoundedSocket final : public Poco::Net::StreamSocket {
public:
    /** Creates an unconnected socket, whose copies share its budget. */
    BoundedSocket();

    /** Begins an exchange. A read beyond the budget throws Poco::TimeoutException or Poco::DataException. */
    void beginExchange(const ExchangeBudget& budget);
    /**
     * Makes the current and all later calls on this socket and its copies throw, whether they connect, send or
     * receive. Callable from any thread; the descriptor is closed by the thread that uses it.
     */
    void cancel();
    /** @return true when a read of this exchange has reached the end of what the peer sends. */
    bool hasEnded() const;
};

}
