#pragma once

#include "ports/CallerMessages.h"

#include <optional>
#include <string>

namespace teaselfold {

/** Where a stream goes on. */
struct StreamPosition {
    ResumeToken token;
    std::uint32_t nextIndex { 0 };
    bool operator==(const StreamPosition&) const = default;
};

/** @return the events of consecutive tokens, one event each. */
std::string encodeTokenEvents(const CallerTokens& tokens);

/** @return the event that voids what came before; its id stands for the start of the new generation. */
std::string encodeRestartEvent(const CallerRestart& restart);

/** @return the last events of a whole stream. */
std::string encodeFinishEvents(const CallerFinished& finished);

/** @return the event that ends a stream which is not whole. */
std::string encodeErrorEvent(const Failure& failure);

/**
 * Reads a `Last-Event-ID`: `<endpoint>:<generation in hex>:<token index>`, or an empty index for a restart.
 * @return the position after that event; nothing when the text is malformed.
 */
std::optional<StreamPosition> decodeEventId(const std::string& text);

}
