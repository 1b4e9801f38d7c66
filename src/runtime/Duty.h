#pragma once

#include "ports/Time.h"
#include "runtime/Ring.h"

#include <functional>
#include <string>
#include <thread>

namespace teaselfold {

/** Handles the events of a duty. Called on the duty's thread only. */
template <typename Event> class DutyHandler {
public:
    virtual ~DutyHandler() = default;
    /** Handles one event. @param now the time at which the event was popped from the ring. */
    virtual void handle(const Event& event, Instant now) = 0;
    /** Called once per tick period. */
    virtual void tick(Instant now) = 0;
};

/** A thread with a bounded inbound ring. The thread blocks while no event is queued and no tick is due. */
template <typename Event> class Duty {
public:
    /**
     * @param name the name of the duty, for logs.
     * @param capacity maximum number of events in the ring; a full ring rejects more.
     * @param period time between two calls of the handler's tick.
     */
    Duty(std::string name, std::size_t capacity, Duration period)
        : dutyName(std::move(name))
        , inbound(capacity)
        , period(period)
    {
    }

    ~Duty() { this->stop(); }
    Duty(const Duty&) = delete;
    Duty& operator=(const Duty&) = delete;

    Ring<Event>& ring() { return this->inbound; }
    const std::string& name() const { return this->dutyName; }

    /** Starts the thread. @param handler receives the events; must outlive the duty. */
    void start(DutyHandler<Event>& handler)
    {
        this->thread = std::thread([this, &handler] { this->run(handler); });
    }

    /** Closes the ring, handles the events left in it and joins the thread. Idempotent. */
    void stop()
    {
        this->inbound.close();
        if (this->thread.joinable())
            this->thread.join();
    }

private:
    void run(DutyHandler<Event>& handler)
    {
        Instant nextTick = std::chrono::steady_clock::now() + this->period;
        while (true) {
            auto event = this->inbound.popUntil(nextTick);
            const Instant now = std::chrono::steady_clock::now();
            if (event)
                handler.handle(*event, now);
            else if (this->inbound.isClosed())
                return;
            if (now < nextTick)
                continue;
            handler.tick(now);
            nextTick = now + this->period;
        }
    }

    std::string dutyName;
    Ring<Event> inbound;
    Duration period;
    std::thread thread;
};

}
