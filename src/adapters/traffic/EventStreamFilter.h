#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselfold {

/** Splits a server-sent event stream into complete events, drops duplicates and detects gaps in the event ids. */
class EventStreamFilter {
public:
    /** @param lastId id of the newest event that the caller already has; events up to it are dropped. */
    explicit EventStreamFilter(std::optional<std::uint64_t> lastId)
        : newestId(lastId)
    {
    }

    /** Appends bytes of the stream. @return the complete new events to forward. */
    std::string feed(std::string_view bytes);
    /** @return the id of the newest event returned, at first the one given to the constructor. */
    std::optional<std::uint64_t> lastId() const { return this->newestId; }
    /** @return true when an event id was skipped; no events are returned after the gap. */
    bool hasGap() const { return this->gap; }
    /** @return true when too many bytes arrived without an event that carries data. */
    bool isRunaway() const { return this->bytesWithoutData > maxBytesWithoutData; }
    /** @return true when an event that carries data was returned. */
    bool hasEvents() const { return this->returnedData; }
    /** @return true when an incomplete event is buffered. */
    bool hasPartialEvent() const { return !this->pending.empty(); }
    /** @return the size of the incomplete event that is buffered. */
    std::size_t pendingBytes() const { return this->pending.size(); }

private:
    /** Limit on an incomplete event together with the comments and repeated events before it. */
    static constexpr std::size_t maxBytesWithoutData = std::size_t { 1 } << 20;

    bool acceptEvent(std::string_view event);

    std::string pending;
    std::optional<std::uint64_t> newestId;
    std::size_t bytesWithoutData { 0 };
    bool gap { false };
    bool returnedData { false };
};

}
