#pragma once

#include "ports/EngineMessages.h"

#include <optional>
#include <string>
#include <variant>

namespace teaselfold::Internal {

/** @return the engine's request id of a generation: the generation id in hexadecimal. */
std::string requestIdOf(GenerationId generation);

/** @return the JSON body of a start request. */
std::string encodeStart(const EngineStart& start);

/** @return the JSON body of an order request. */
std::string encodeOrder(const EngineOrder& order);

/** The end-of-stream marker `[DONE]`. If no finish reason precedes it, the stream ended early. */
struct StreamDone { };

/** The content of a line of a stream. */
using StreamLine = std::variant<EngineTokens, EngineFinished, StreamDone>;

/**
 * Decodes a line of a server-sent event stream.
 * @return the content, or nothing when the line is empty, malformed or not a `data:` line.
 */
std::optional<StreamLine> decodeStreamLine(GenerationId generation, const std::string& line);

/** @return the report, or nothing when the body is malformed. */
std::optional<EngineReport> decodeReport(const std::string& body);

/** @return the cache events, or nothing when the body is malformed. */
std::optional<EngineCacheEvents> decodeCacheEvents(const std::string& body);

}
