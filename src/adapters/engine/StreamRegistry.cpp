#include "adapters/engine/StreamRegistry.h"

namespace teaselfold::Internal {

void StreamRegistry::cancel(Stream& stream)
{
    if (stream.socket)
        stream.socket->cancel();
    stream.socket.reset();
}

std::uint64_t StreamRegistry::open(GenerationId generation)
{
    std::lock_guard lock(this->mutex);
    Stream& stream = this->streams[generation];
    cancel(stream);
    stream.number = ++this->lastNumber;
    return stream.number;
}

void StreamRegistry::abort(GenerationId generation)
{
    std::lock_guard lock(this->mutex);
    const auto found = this->streams.find(generation);
    if (found == this->streams.end())
        return;
    cancel(found->second);
    this->streams.erase(found);
}

void StreamRegistry::abortAll()
{
    std::lock_guard lock(this->mutex);
    for (auto& [generation, stream] : this->streams)
        cancel(stream);
    this->streams.clear();
}

bool StreamRegistry::attach(GenerationId generation, std::uint64_t number, const BoundedSocket& socket)
{
    std::lock_guard lock(this->mutex);
    const auto found = this->streams.find(generation);
    if (found == this->streams.end() || found->second.number != number)
        return false;
    found->second.socket = socket;
    return true;
}

void StreamRegistry::close(GenerationId generation, std::uint64_t number)
{
    std::lock_guard lock(this->mutex);
    const auto found = this->streams.find(generation);
    if (found != this->streams.end() && found->second.number == number)
        this->streams.erase(found);
}

bool StreamRegistry::isCurrent(GenerationId generation, std::uint64_t number) const
{
    std::lock_guard lock(this->mutex);
    const auto found = this->streams.find(generation);
    return found != this->streams.end() && found->second.number == number;
}

bool StreamRegistry::isOpen(GenerationId generation) const
{
    std::lock_guard lock(this->mutex);
    return this->streams.contains(generation);
}

}
