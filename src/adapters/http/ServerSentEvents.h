#pragma once

#include "ports/CallerMessages.h"

#include <optional>
#include <string>

namespace teaselfold {

/** The position from which a stream is resumed. */
struct StreamPosition {
    ResumeToken token;
    std::uint32_t nextIndex { 0 };
    bool operator==(const StreamPosition&) const = default;
};

/** @return one event per token, in order. */
std::string encodeTokenEvents(const CallerTokens& tokens);

/** @return the event that discards all previous tokens; its id names the start of the new generation. */
std::string encodeRestartEvent(const CallerRestart& restart);

/** @return the last events of a complete stream. */
std::string encodeFinishEvents(const CallerFinished& finished);

/** @return the event that ends an incomplete stream. */
std::string encodeErrorEvent(const Failure& failure);

/**
 * Decodes a `Last-Event-ID` of the form `<endpoint>:<generation in hex>:<token index>`. The index of a restart event is
 * empty.
 * @return the position after that event, or nothing if the text is malformed.
 */
std::optional<StreamPosition> decodeEventId(const std::string& text);

}
