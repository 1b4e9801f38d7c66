#pragma once

#include "adapters/link/FrameCodec.h"

namespace teaselfold {

/** More bytes are needed for a complete frame. */
struct FrameIncomplete { };

/** Splits a byte stream, received in pieces of any size, into frames. */
class FrameBuffer {
public:
    /** @param maximumBytes size of the largest frame accepted. */
    explicit FrameBuffer(std::size_t maximumBytes)
        : maximumBytes(maximumBytes)
    {
    }

    /** Changes the size of the largest frame accepted, from the next frame on. */
    void setMaximum(std::size_t bytes) { this->maximumBytes = bytes; }

    /** Appends received bytes. */
    void append(std::string_view bytes);

    /** @return the next frame without its length prefix, or TooLarge, after which the stream cannot be read further. */
    std::variant<std::string, FrameIncomplete, FrameError> next();

private:
    void compact();

    std::size_t maximumBytes;
    std::string bytes;
    std::size_t consumed { 0 };
};

}
