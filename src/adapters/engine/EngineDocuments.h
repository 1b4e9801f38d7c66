#pragma once

#include "ports/EngineMessages.h"

#include <optional>
#include <string>
#include <variant>

namespace teaselfold::Internal {

/** @return the id under which the engine knows a generation, in hexadecimal. */
std::string requestIdOf(GenerationId generation);

/** @return the body of a start. */
std::string encodeStart(const EngineStart& start);

/** @return the body of an order. */
std::string encodeOrder(const EngineOrder& order);

/** The end of a stream without a finish before it. */
struct StreamDone { };

/** One line of a stream that says something. */
using StreamLine = std::variant<EngineTokens, EngineFinished, StreamDone>;

/** @param line of the stream. @return nothing for an empty, foreign or malformed line. */
std::optional<StreamLine> decodeStreamLine(GenerationId generation, const std::string& line);

/** @return the report, or nothing when the body is none. */
std::optional<EngineReport> decodeReport(const std::string& body);

/** @return the cache events, or nothing when the body is none. */
std::optional<EngineCacheEvents> decodeCacheEvents(const std::string& body);

}
