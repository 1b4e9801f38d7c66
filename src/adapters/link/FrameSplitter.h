#pragma once

#include "adapters/link/FrameBuffer.h"
#include "adapters/net/SocketLoop.h"

namespace teaselfold {

/** Adapts FrameBuffer to the StreamDecoder interface of the socket loop. */
class FrameSplitter final : public StreamDecoder {
public:
    void append(std::string_view bytes) override { this->frames.append(bytes); }
    std::variant<std::string, MessageIncomplete, MessageTooLarge> next() override
    {
        auto frame = this->frames.next();
        if (std::holds_alternative<FrameIncomplete>(frame))
            return MessageIncomplete {};
        if (std::holds_alternative<FrameError>(frame))
            return MessageTooLarge {};
        return std::move(*std::get_if<std::string>(&frame));
    }
    void setMaximum(std::size_t bytes) override { this->frames.setMaximum(bytes); }

private:
    FrameBuffer frames { maximumHelloBytes };
};

/** @return the options of a socket loop that serves links. */
SocketLoopOptions linkLoopOptions();

}
