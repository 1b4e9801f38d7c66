#include "emulator/load/EventStream.h"

#include <array>
#include <string_view>

namespace teaselfold {

namespace {

    struct Field {
        std::string_view name;
        std::string StreamEvent::*member;
    };
    constexpr std::array fields { Field { "event:", &StreamEvent::kind }, Field { "id:", &StreamEvent::id },
        Field { "data:", &StreamEvent::data } };

    void parseLine(StreamEvent& event, const std::string& line)
    {
        for (const Field& field : fields) {
            if (!line.starts_with(field.name))
                continue;
            const std::size_t space = line.size() > field.name.size() && line[field.name.size()] == ' ' ? 1 : 0;
            event.*field.member += line.substr(field.name.size() + space);
        }
    }

}

std::optional<StreamEvent> readStreamEvent(std::istream& in)
{
    StreamEvent event;
    std::string line;
    while (std::getline(in, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (!line.empty()) {
            parseLine(event, line);
            continue;
        }
        if (event != StreamEvent {})
            return event;
    }
    return std::nullopt;
}

}
