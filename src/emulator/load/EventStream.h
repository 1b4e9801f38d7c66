#pragma once

#include <istream>
#include <optional>
#include <string>

namespace teaselfold {

/** One server-sent event. */
struct StreamEvent {
    /** Event type; empty for the default type. */
    std::string kind;
    std::string id;
    std::string data;
    bool operator==(const StreamEvent&) const = default;
};

/** @return the next event; nothing if the stream ends before the event is complete. */
std::optional<StreamEvent> readStreamEvent(std::istream& in);

}
