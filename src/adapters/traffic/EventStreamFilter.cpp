#include "adapters/traffic/EventStreamFilter.h"

#include <charconv>

namespace teaselfold {

namespace {

    constexpr std::string_view eventEnd = "\n\n";
    constexpr std::string_view idField = "id:";

    bool hasData(std::string_view event)
    {
        constexpr std::string_view dataField = "data:";
        return event.starts_with(dataField) || event.find("\ndata:") != std::string_view::npos;
    }

    std::optional<std::uint64_t> idOf(std::string_view event)
    {
        while (!event.empty()) {
            const std::size_t end = event.find('\n');
            std::string_view line = event.substr(0, end);
            event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
            if (!line.starts_with(idField))
                continue;
            line.remove_prefix(idField.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            std::uint64_t id = 0;
            const auto [stop, error] = std::from_chars(line.data(), line.data() + line.size(), id);
            if (error == std::errc() && stop != line.data())
                return id;
        }
        return std::nullopt;
    }

}

std::string EventStreamFilter::feed(std::string_view bytes)
{
    this->pending.append(bytes);
    this->bytesWithoutData += bytes.size();
    std::string completeEvents;
    std::size_t begin = 0;
    for (std::size_t end = this->pending.find(eventEnd); end != std::string::npos && !this->gap;
         end = this->pending.find(eventEnd, begin)) {
        const std::size_t next = end + eventEnd.size();
        const std::string_view event = std::string_view(this->pending).substr(begin, next - begin);
        if (this->acceptEvent(event)) {
            completeEvents.append(event);
            if (hasData(event)) {
                this->bytesWithoutData = 0;
                this->returnedData = true;
            }
        }
        begin = next;
    }
    this->pending.erase(0, begin);
    return completeEvents;
}

bool EventStreamFilter::acceptEvent(std::string_view event)
{
    const auto id = idOf(event);
    if (!id)
        return true;
    if (this->newestId && *id <= *this->newestId)
        return false;
    this->gap = this->newestId && *id != *this->newestId + 1;
    if (this->gap)
        return false;
    this->newestId = id;
    return true;
}

}
