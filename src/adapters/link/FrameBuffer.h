#pragma once

#include "adapters/link/FrameCodec.h"

namespace teaselfold {

/** More bytes are needed for a whole frame. */
struct FrameIncomplete { };

/** Splits a byte stream into frames, whatever pieces it comes in. */
class FrameBuffer {
public:
    /** @param maximumBytes largest frame that is accepted. */
    explicit FrameBuffer(std::size_t maximumBytes)
        : maximumBytes(maximumBytes)
    {
    }

    /** Changes the largest frame accepted from the next frame on. */
    void setMaximum(std::size_t bytes) { this->maximumBytes = bytes; }

    /** Adds bytes as they came. */
    void append(std::string_view bytes);

    /** @return the next frame without its length, or TooLarge, after which the stream cannot be read on. */
    std::variant<std::string, FrameIncomplete, FrameError> next();

private:
    void compact();

    std::size_t maximumBytes;
    std::string bytes;
    std::size_t consumed { 0 };
};

}
