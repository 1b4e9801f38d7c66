#pragma once

#include "ports/EntryInterfaces.h"
#include "runtime/Ring.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace teaselfold {

/** The rings on which the threads that serve callers wait for the router's messages. */
class CallerRegistry final : public Callers {
public:
    using CallerRing = Ring<CallerMessage>;

    /** A registered caller. */
    struct Registration {
        RequestId request;
        std::shared_ptr<CallerRing> ring;
    };

    /** Draws a request id and opens a ring for it. @param capacity messages that may wait. */
    Registration add(std::size_t capacity);
    /** Closes the ring. Messages that come later are dropped. */
    void remove(RequestId request);
    /** A full ring is closed: its caller gets a broken stream, never one with a gap. */
    void deliver(RequestId request, const CallerMessage& message) override;
    /** Waits until no caller is registered. @return false when the time came first. */
    bool waitUntilEmpty(Instant until);

private:
    std::mutex mutex;
    std::condition_variable emptied;
    std::unordered_map<RequestId, std::shared_ptr<CallerRing>> rings;
    std::uint64_t lastId { 0 };
};

}
