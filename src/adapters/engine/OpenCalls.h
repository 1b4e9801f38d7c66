#pragma once

#include "adapters/net/BoundedSocket.h"

#include <list>
#include <mutex>

namespace teaselfold::Internal {

/** Tracks the calls in progress of one kind, so that a stop can cancel them. */
class OpenCalls {
public:
    /** Adds a call by its socket, which is cancelled at once if all calls were. */
    void add(BoundedSocket socket);
    /** Removes a call that has ended. */
    void remove(const BoundedSocket& socket);
    /** Cancels the calls in progress and all later ones. */
    void cancelAll();

private:
    std::mutex mutex;
    std::list<BoundedSocket> sockets;
    bool cancelled { false };
};

}
