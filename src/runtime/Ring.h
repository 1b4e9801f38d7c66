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
 * A bounded queue between two duties. Many threads may push; one pops.
 * A full ring refuses the push: the sender turns that into an answer.
 */
template <typename Item> class Ring {
public:
    explicit Ring(std::size_t capacity)
        : items(capacity)
    {
    }

    /** @param wake called after each push, for a consumer that waits on sockets. Set before the first push. */
    void setWaker(std::function<void()> wake) { this->wake = std::move(wake); }

    /** @return false when the ring is full or closed; the item is then untouched by any consumer. */
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

    /** Waits until there is room or the ring is closed. Only for producers that no duty waits for. @return false when
     * closed. */
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

    /** Waits for an item until a point in time. @return nothing when the time came first or the ring is closed and
     * empty. */
    std::optional<Item> popUntil(Instant until)
    {
        std::unique_lock lock(this->mutex);
        this->notEmpty.wait_until(lock, until, [&] { return this->closed || !this->items.empty(); });
        return this->popFront();
    }

    /** @return the oldest item, or nothing when the ring is empty. */
    std::optional<Item> tryPop()
    {
        std::lock_guard lock(this->mutex);
        return this->popFront();
    }

    /** Refuses pushes from now on. What is inside can still be popped. */
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
