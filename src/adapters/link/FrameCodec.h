#pragma once

#include "ports/DocumentCodec.h"
#include "ports/LinkMessages.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace teaselfold {

/** Size of the little-endian length prefix of each frame. */
constexpr std::size_t frameHeaderBytes = 4;
/** Size of the largest frame on a link, without its length prefix. */
constexpr std::size_t maximumFrameBytes = std::size_t { 16 } * 1024 * 1024;
/** Size of the largest frame accepted before the peer's hello. */
constexpr std::size_t maximumHelloBytes = 4096;

/** Reasons why a message cannot be encoded or a frame cannot be decoded. */
enum class FrameError : std::uint8_t {
    TooLarge,
    Malformed,
    /** The message is not sent in the direction that is decoded. */
    UnexpectedMessage,
    ValueOutOfRange,
    BadDocument,
};

/** @return the error's name in logs, which does not change between versions. */
std::string_view frameErrorName(FrameError error);

/**
 * Encodes link messages as frames and decodes them; performs no I/O. Decoding returns a message or a
 * FrameError for any input. Thread-safe if the document codec is.
 */
class FrameCodec {
public:
    /** @param documents encodes and decodes configuration documents; must outlive the codec. */
    explicit FrameCodec(const DocumentCodec& documents)
        : documents(documents)
    {
    }

    /** @return the frame with its length prefix, or TooLarge. */
    std::variant<std::string, FrameError> encode(const EntryMessage& message) const;
    /** @return the frame with its length prefix, or TooLarge. */
    std::variant<std::string, FrameError> encode(const AgentMessage& message) const;
    /** @param frame frame from an entry, without its length prefix. */
    std::variant<EntryMessage, FrameError> decodeEntryMessage(std::string_view frame) const;
    /** @param frame frame from an agent, without its length prefix. */
    std::variant<AgentMessage, FrameError> decodeAgentMessage(std::string_view frame) const;

private:
    const DocumentCodec& documents;
};

}
