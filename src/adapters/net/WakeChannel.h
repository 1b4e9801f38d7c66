#pragma once

#include <Poco/Net/DatagramSocket.h>

#include <atomic>

namespace teaselfold {

/** Wakes a thread that polls sockets: a pair of connected datagram sockets on loopback. */
class WakeChannel {
public:
    WakeChannel();

    /** @return the socket that becomes readable with a wake-up, to be added to a poll set. */
    const Poco::Net::DatagramSocket& socket() const { return this->receiver; }
    /** Makes the socket readable. Callable from any thread. */
    void wake();
    /** Makes the socket unreadable again, until the next wake-up. Called by the polling thread. */
    void reset();

private:
    Poco::Net::DatagramSocket receiver;
    Poco::Net::DatagramSocket sender;
    std::atomic<bool> pending { false };
};

}
