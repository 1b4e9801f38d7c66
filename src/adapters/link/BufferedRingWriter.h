#pragma once

#include "runtime/Ring.h"

#include <deque>
#include <utility>

namespace teaselfold {

/**
 * Pushes events from a socket loop into a duty's ring. Buffers events in order while the ring is full; the loop does
 * not read from its sockets until the buffer is empty, which keeps the buffer small.
 */
template <typename Event> class BufferedRingWriter {
public:
    /** @param ring destination, which must outlive the writer; null to discard all events. */
    explicit BufferedRingWriter(Ring<Event>* ring)
        : ring(ring)
    {
    }

    /** Pushes an event into the ring, or buffers it until a later flush. */
    void push(Event event)
    {
        if (!this->ring)
            return;
        if (!this->pending.empty() || !this->ring->tryPush(event))
            this->pending.push_back(std::move(event));
    }

    /** Pushes the buffered events. @return true when the buffer is empty. */
    bool flush()
    {
        while (!this->pending.empty() && this->ring->tryPush(this->pending.front()))
            this->pending.pop_front();
        return this->pending.empty();
    }

private:
    Ring<Event>* ring;
    std::deque<Event> pending;
};

}
