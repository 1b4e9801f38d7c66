#include "adapters/http/CallerRegistry.h"

namespace teaselfold {

CallerRegistry::Registration CallerRegistry::add(std::size_t capacity)
{
    auto ring = std::make_shared<CallerRing>(capacity);
    std::lock_guard lock(this->mutex);
    this->lastId += 1;
    const RequestId request(this->lastId);
    this->rings.emplace(request, ring);
    return { request, std::move(ring) };
}

void CallerRegistry::remove(RequestId request)
{
    std::lock_guard lock(this->mutex);
    this->rings.erase(request);
    if (this->rings.empty())
        this->emptied.notify_all();
}

void CallerRegistry::deliver(RequestId request, const CallerMessage& message)
{
    std::shared_ptr<CallerRing> ring;
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->rings.find(request);
        if (found == this->rings.end())
            return;
        ring = found->second;
    }
    if (!ring->tryPush(message))
        ring->close();
}

bool CallerRegistry::waitUntilEmpty(Instant until)
{
    std::unique_lock lock(this->mutex);
    return this->emptied.wait_until(lock, until, [&] { return this->rings.empty(); });
}

}
