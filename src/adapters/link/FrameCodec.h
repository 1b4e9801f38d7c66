#pragma once

#include "ports/DocumentCodec.h"
#include "ports/LinkMessages.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace teaselfold {

/** Bytes of the little-endian length before each frame. */
constexpr std::size_t frameHeaderBytes = 4;
/** Largest frame on a link, without its length. */
constexpr std::size_t maximumFrameBytes = std::size_t { 16 } * 1024 * 1024;
/** Largest frame before the peer said hello. */
constexpr std::size_t maximumHelloBytes = 4096;

/** Why bytes are not a frame of the expected direction. */
enum class FrameError : std::uint8_t {
    TooLarge,
    Malformed,
    UnexpectedMessage,
    ValueOutOfRange,
    BadDocument,
};

/** @return a stable name for logs. */
std::string_view frameErrorName(FrameError error);

/**
 * Turns link messages into frames and back. Knows no sockets. Decoding is total: any bytes give a value.
 * Safe to use from several threads when the document codec is.
 */
class FrameCodec {
public:
    /** @param documents turns configuration into text; must outlive the codec. */
    explicit FrameCodec(const DocumentCodec& documents)
        : documents(documents)
    {
    }

    /** @return the frame with its length, or TooLarge. */
    std::variant<std::string, FrameError> encode(const EntryMessage& message) const;
    /** @return the frame with its length, or TooLarge. */
    std::variant<std::string, FrameError> encode(const AgentMessage& message) const;
    /** @param frame a frame without its length, from an entry. */
    std::variant<EntryMessage, FrameError> decodeEntry(std::string_view frame) const;
    /** @param frame a frame without its length, from an agent. */
    std::variant<AgentMessage, FrameError> decodeAgent(std::string_view frame) const;

private:
    const DocumentCodec& documents;
};

}
