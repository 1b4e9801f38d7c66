#include "adapters/link/FrameBuffer.h"

namespace teaselfold {

namespace {

    /** Consumed bytes are erased only once there are this many, so that not every append moves the remaining bytes. */
    constexpr std::size_t compactAfterBytes = 65536;

}

void FrameBuffer::append(std::string_view more)
{
    this->compact();
    this->bytes.append(more);
}

std::variant<std::string, FrameIncomplete, FrameError> FrameBuffer::next()
{
    const std::size_t available = this->bytes.size() - this->consumed;
    if (available < frameHeaderBytes)
        return FrameIncomplete {};
    std::size_t length = 0;
    for (std::size_t index = 0; index < frameHeaderBytes; ++index) {
        const auto byte = static_cast<unsigned char>(this->bytes[this->consumed + index]);
        length |= static_cast<std::size_t>(byte) << (8 * index);
    }
    if (length > this->maximumBytes)
        return FrameError::TooLarge;
    if (available - frameHeaderBytes < length)
        return FrameIncomplete {};
    std::string frame = this->bytes.substr(this->consumed + frameHeaderBytes, length);
    this->consumed += frameHeaderBytes + length;
    return frame;
}

void FrameBuffer::compact()
{
    if (this->consumed < compactAfterBytes && this->consumed < this->bytes.size())
        return;
    this->bytes.erase(0, this->consumed);
    this->consumed = 0;
}

}
