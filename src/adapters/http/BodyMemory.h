#pragma once

#include <atomic>
#include <cstddef>

namespace teaselfold {

/** Memory for the bodies of all requests in progress together. Callable from any thread. */
class BodyMemory {
public:
    explicit BodyMemory(std::size_t maxBytes)
        : maxBytes(maxBytes)
    {
    }

    /** @return false when there is no room for this many more bytes. */
    bool take(std::size_t bytes)
    {
        if (this->takenBytes.fetch_add(bytes) + bytes <= this->maxBytes)
            return true;
        this->takenBytes.fetch_sub(bytes);
        return false;
    }
    void release(std::size_t bytes) { this->takenBytes.fetch_sub(bytes); }

private:
    const std::size_t maxBytes;
    std::atomic<std::size_t> takenBytes { 0 };
};

}
