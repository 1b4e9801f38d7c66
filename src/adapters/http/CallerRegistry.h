#pragma once

#include "ports/EntryInterfaces.h"
#include "runtime/Ring.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace teaselfold {

/** Holds one ring per request, through which the router's messages reach the thread that serves the caller. */
class CallerRegistry final : public Callers {
public:
    using CallerRing = Ring<CallerMessage>;

    /** A registered request and its ring. */
    struct Registration {
        RequestId request;
        std::shared_ptr<CallerRing> ring;
    };

    /** Assigns a request id and opens a ring for it. @param capacity its size in messages. */
    Registration add(std::size_t capacity);
    /** Removes the ring. Later messages for the request are dropped. */
    void remove(RequestId request);
    /** Pushes the message into its ring. A full ring is closed, so that the stream ends instead of having a gap. */
    void deliver(RequestId request, const CallerMessage& message) override;
    /** Waits until no request is registered. @return false on timeout. */
    bool waitUntilEmpty(Instant until);

private:
    std::mutex mutex;
    std::condition_variable emptied;
    std::unordered_map<RequestId, std::shared_ptr<CallerRing>> rings;
    std::uint64_t lastId { 0 };
};

}
