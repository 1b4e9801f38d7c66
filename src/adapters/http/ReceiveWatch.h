#pragma once

#include "ports/Time.h"

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace teaselfold {

/** Shuts down connections whose request did not arrive whole in time, however slowly its bytes drip in. */
class ReceiveWatch {
public:
    explicit ReceiveWatch(Milliseconds limit);
    ~ReceiveWatch();
    ReceiveWatch(const ReceiveWatch&) = delete;
    ReceiveWatch& operator=(const ReceiveWatch&) = delete;

    /** A connection began; its request must be whole within the limit. */
    void begin(const Poco::Net::StreamSocket& socket);
    /** The request of the connection from this peer is whole. */
    void received(const std::string& peer);
    /** Joins the thread. Idempotent. */
    void stop();

private:
    struct Watched {
        Poco::Net::StreamSocket socket;
        Instant until;
    };

    void run();
    void shutDownOverdue(Instant now);
    Instant nextDeadline() const;

    Milliseconds limit;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Watched> connections;
    bool stopping { false };
    std::thread thread;
};

}
