#pragma once

#include "ports/Time.h"

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace teaselfold {

/**
 * Shuts down connections whose complete request does not arrive within a timeout. A socket timeout alone does not stop
 * a client that sends one byte at a time, because it restarts with every byte.
 */
class ReceiveTimeoutMonitor {
public:
    explicit ReceiveTimeoutMonitor(Milliseconds timeout);
    ~ReceiveTimeoutMonitor();
    ReceiveTimeoutMonitor(const ReceiveTimeoutMonitor&) = delete;
    ReceiveTimeoutMonitor& operator=(const ReceiveTimeoutMonitor&) = delete;

    /** Starts the timeout of a new connection, which is zero after `stop`. */
    void track(const Poco::Net::StreamSocket& socket);
    /** Ends the timeout of this peer's connection, whose request is complete or has been given up. */
    void stopTracking(const std::string& peer);
    /** Moves later deadlines forward, also those of connections that are tracked from now on. */
    void limitDeadlines(Instant latest);
    /** Shuts down all connections whose request is incomplete, and joins the thread. Idempotent. */
    void stop();

private:
    struct PendingConnection {
        Poco::Net::StreamSocket socket;
        Instant deadline;
    };

    void run();
    void shutDownExpired(Instant now);
    static void shutDown(Poco::Net::StreamSocket& socket);
    Instant nextDeadline() const;

    Milliseconds timeout;
    std::mutex mutex;
    std::condition_variable wakeUp;
    std::map<std::string, PendingConnection> pendingConnections;
    Instant latestDeadline { Instant::max() };
    bool stopping { false };
    std::thread thread;
};

}
