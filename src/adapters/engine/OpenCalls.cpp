#include "adapters/engine/OpenCalls.h"

namespace teaselfold::Internal {

void OpenCalls::add(BoundedSocket socket)
{
    const std::lock_guard lock(this->mutex);
    if (this->cancelled)
        socket.cancel();
    else
        this->sockets.push_back(std::move(socket));
}

void OpenCalls::remove(const BoundedSocket& socket)
{
    const std::lock_guard lock(this->mutex);
    this->sockets.remove_if([&](const BoundedSocket& each) { return each.impl() == socket.impl(); });
}

void OpenCalls::cancelAll()
{
    const std::lock_guard lock(this->mutex);
    this->cancelled = true;
    for (BoundedSocket& socket : this->sockets)
        socket.cancel();
}

}
