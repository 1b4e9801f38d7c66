#pragma once

#include "runtime/Ring.h"

#include <deque>
#include <utility>

namespace teaselfold {

/**
 * The way from a socket loop into a duty's ring. Keeps order and loses nothing when the ring is full: the loop stops
 * reading while events wait here, so that they stay few.
 */
template <typename Event> class EventOutlet {
public:
    /** @param ring where events go; nothing when they are not wanted. Must outlive the outlet. */
    explicit EventOutlet(Ring<Event>* ring)
        : ring(ring)
    {
    }

    /** Hands an event over, now or at the next flush. */
    void push(Event event)
    {
        if (!this->ring)
            return;
        if (!this->waiting.empty() || !this->ring->tryPush(event))
            this->waiting.push_back(std::move(event));
    }

    /** Hands over what waits. @return true when nothing waits any more. */
    bool flush()
    {
        while (!this->waiting.empty() && this->ring->tryPush(this->waiting.front()))
            this->waiting.pop_front();
        return this->waiting.empty();
    }

private:
    Ring<Event>* ring;
    std::deque<Event> waiting;
};

}
