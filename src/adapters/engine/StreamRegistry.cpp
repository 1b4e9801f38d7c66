#include "adapters/engine/StreamRegistry.h"

#include <Poco/Exception.h>

namespace teaselfold::Internal {

void StreamRegistry::abortSession(Stream& stream)
{
    if (stream.session == nullptr)
        return;
    try {
        stream.session->abort();
    } catch (const Poco::Exception&) {
        // The peer has already closed the connection.
    }
    stream.session = nullptr;
}

std::uint64_t StreamRegistry::open(GenerationId generation)
{
    std::lock_guard lock(this->mutex);
    Stream& stream = this->streams[generation];
    abortSession(stream);
    stream.number = ++this->lastNumber;
    return stream.number;
}

void StreamRegistry::abort(GenerationId generation)
{
    std::lock_guard lock(this->mutex);
    const auto found = this->streams.find(generation);
    if (found == this->streams.end())
        return;
    abortSession(found->second);
    this->streams.erase(found);
}

void StreamRegistry::abortAll()
{
    std::lock_guard lock(this->mutex);
    for (auto& [generation, stream] : this->streams)
        abortSession(stream);
    this->streams.clear();
}

bool StreamRegistry::attach(GenerationId generation, std::uint64_t number, Poco::Net::HTTPClientSession& session)
{
    std::lock_guard lock(this->mutex);
    const auto found = this->streams.find(generation);
    if (found == this->streams.end() || found->second.number != number)
        return false;
    found->second.session = &session;
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
