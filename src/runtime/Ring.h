#pragma once

#include "ports/Time.h"

#include <boost/circular_buffer.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace teaselfold {

/**
 * A bounded queue between threads, for any number of producers and consumers. A full ring rejects `tryPush`, so that
 * the producer can report the overload instead of blocking.
 */
template <typename Item> class Ring {
public:
    explicit Ring(std::size_t capacity)
        : items(capacity)
    {
    }

    /**
     * Sets a callback for a consumer that waits on sockets instead of in `popUntil`.
     * @param wake the callback, which runs after each push and on close. Must be set before the first push.
     */
    void setWaker(std::function<void()> wake) { this->wake = std::move(wake); }

    /** Adds an item without blocking. @return false if the ring is full or closed; the item is then not queued. */
    bool tryPush(Item item)
    {
        {
            std::lock_guard lock(this->mutex);
            if (this->closed || this->items.full())
                return false;
            this->items.push_back(std::move(item));
        }
        this->notify();
        return true;
    }

    /**
     * Adds an item, and blocks while the ring is full. Must not be called by a thread that a duty waits for.
     * @return false if the ring is closed.
     */
    bool push(Item item)
    {
        {
            std::unique_lock lock(this->mutex);
            this->notFull.wait(lock, [&] { return this->closed || !this->items.full(); });
            if (this->closed)
                return false;
            this->items.push_back(std::move(item));
        }
        this->notify();
        return true;
    }

    /**
     * Removes the oldest item, and blocks until the given time while the ring is empty.
     * @return nothing if no item arrived by then, or if the ring is closed and empty.
     */
    std::optional<Item> popUntil(Instant until)
    {
        std::unique_lock lock(this->mutex);
        this->notEmpty.wait_until(lock, until, [&] { return this->closed || !this->items.empty(); });
        return this->popFront();
    }

    /** Removes the oldest item without blocking. @return nothing if the ring is empty. */
    std::optional<Item> tryPop()
    {
        std::lock_guard lock(this->mutex);
        return this->popFront();
    }

    /** Rejects further pushes. Items in the ring can still be popped. */
    void close()
    {
        {
            std::lock_guard lock(this->mutex);
            this->closed = true;
        }
        this->notEmpty.notify_all();
        this->notFull.notify_all();
        if (this->wake)
            this->wake();
    }

    bool isClosed() const
    {
        std::lock_guard lock(this->mutex);
        return this->closed;
    }

private:
    std::optional<Item> popFront()
    {
        if (this->items.empty())
            return std::nullopt;
        std::optional<Item> item(std::move(this->items.front()));
        this->items.pop_front();
        this->notFull.notify_one();
        return item;
    }

    void notify()
    {
        this->notEmpty.notify_one();
        if (this->wake)
            this->wake();
    }

    mutable std::mutex mutex;
    std::condition_variable notEmpty;
    std::condition_variable notFull;
    boost::circular_buffer<Item> items;
    std::function<void()> wake;
    bool closed { false };
};

}
