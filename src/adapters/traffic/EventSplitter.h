#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselfold {

/** Holds an event stream back until each event is whole, and keeps the sequence of its ids. */
class EventSplitter {
public:
    /** @param lastId newest event that the reader has; events up to it are dropped. */
    explicit EventSplitter(std::optional<std::uint64_t> lastId)
        : newest(lastId)
    {
    }

    /** Takes bytes of the stream. @return the whole events that go on to the reader. */
    std::string feed(std::string_view bytes);
    /** @return the id of the newest event handed out; nothing before the first. */
    std::optional<std::uint64_t> lastId() const { return this->newest; }
    /** An event is missing between two that came. */
    bool hasGap() const { return this->gap; }
    /** @return true when a part of an event waits for its end. */
    bool isInsideEvent() const { return !this->pending.empty(); }

private:
    bool accepts(std::string_view event);

    std::string pending;
    std::optional<std::uint64_t> newest;
    bool gap { false };
};

}
