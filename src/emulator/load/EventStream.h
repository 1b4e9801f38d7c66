#pragma once

#include <istream>
#include <optional>
#include <string>

namespace teaselfold {

/** One server-sent event. */
struct StreamEvent {
    /** Empty for an event of the default kind. */
    std::string kind;
    std::string id;
    std::string data;
    bool operator==(const StreamEvent&) const = default;
};

/** @return the next event, or nothing when the stream ends first. */
std::optional<StreamEvent> readStreamEvent(std::istream& in);

}
